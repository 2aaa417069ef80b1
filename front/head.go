package front

import "bytes"

// requestHead watches the bytes of a request for what the stock server keeps to itself: it drops the length of a
// request that comes in chunks as well, and a next request that comes before the answer looks like one after.
type requestHead struct {
	line        []byte // the present one, as far as its name can reach
	started     bool   // a line that is not empty has come
	complete    bool   // the rest is body
	hasLength   bool   // there is a Content-Length,
	hasEncoding bool   // and a Transfer-Encoding
	bodyBytes   int64  // bytes that came after the head
}

const maxNameBytes = 32 // bytes of a line that are looked at: both names are shorter

func (h *requestHead) scan(b []byte) {
	for i, c := range b {
		switch {
		case h.complete:
			h.bodyBytes += int64(len(b) - i)
			return
		case c != '\n':
			if len(h.line) < maxNameBytes {
				h.line = append(h.line, c)
			}
			continue
		}
		name, _, _ := bytes.Cut(bytes.TrimRight(h.line, "\r"), []byte(":"))
		h.hasLength = h.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		h.hasEncoding = h.hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		h.complete = h.started && len(name) == 0
		h.started = h.started || len(name) > 0
		h.line = h.line[:0]
	}
}
