package front

import "bytes"

// requestHead scans a request's bytes for two things that net/http's server does not report: a Content-Length next
// to a chunked encoding, which it drops, and bytes that follow the request before its answer.
type requestHead struct {
	line        []byte // first bytes of the current line, at most maxNameBytes
	started     bool   // a line that is not empty has been scanned
	complete    bool   // the empty line after the headers has been scanned
	hasLength   bool   // Content-Length is present
	hasEncoding bool   // Transfer-Encoding is present
	bodyBytes   int64  // bytes that followed the headers
}

const maxNameBytes = 32 // bytes of a line that are kept; the two header names looked for are shorter

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
