package front

import "bytes"

// head watches the bytes of a request for what the stock server keeps to itself: it drops the length of a
// request that comes in chunks as well, and a next request that comes before the answer looks like one after.
type head struct {
	line   []byte // the present one, as far as its name can reach
	any    bool   // a line that is not empty has come
	over   bool   // the rest is body
	length bool   // there is a Content-Length,
	coded  bool   // and a Transfer-Encoding
	body   int64  // bytes that came after the head
}

const nameMost = 32 // bytes of a line that are looked at: both names are shorter

func (h *head) take(b []byte) {
	for i, c := range b {
		switch {
		case h.over:
			h.body += int64(len(b) - i)
			return
		case c != '\n':
			if len(h.line) < nameMost {
				h.line = append(h.line, c)
			}
			continue
		}
		name, _, _ := bytes.Cut(bytes.TrimRight(h.line, "\r"), []byte(":"))
		h.length = h.length || bytes.EqualFold(name, []byte("Content-Length"))
		h.coded = h.coded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		h.over = h.any && len(name) == 0
		h.any = h.any || len(name) > 0
		h.line = h.line[:0]
	}
}
