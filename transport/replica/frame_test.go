package replica

import (
	"bufio"
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestFrames(t *testing.T) {
	call := appendCall(nil, []Part{{"9b1f.3", 3, 240, []byte("c41e77d0")}, {"9b1f.4", 4, 7, nil}})
	if want := "\x00\x00\x00\x29R9b1f.3 3 d=240 8\nc41e77d09b1f.4 4 d=7 0\n"; string(call) != want {
		t.Errorf("a call is %q", call)
	}
	if got := string(AppendFrame(nil, LetterAbandon, "9b1f.3")); got != "\x00\x00\x00\x07A9b1f.3" {
		t.Errorf("a part is abandoned by %q", got)
	}
}

func TestReadReply(t *testing.T) {
	frame := func(letter byte, rest string) string { return string(AppendFrame(nil, letter, rest)) }
	for name, c := range map[string]struct {
		in   string
		want Reply
		err  string
	}{
		"ok":            {frame('Y', "a.3 OK 18 inflight=7,util=0.6\n18ff"), Reply{"a.3", Succeeded, "18ff"}, ""},
		"empty value":   {frame('Y', "a.3 OK 0 -\n"), Reply{"a.3", Succeeded, ""}, ""},
		"error":         {frame('Y', "a.3 ERROR 0 -\n"), Reply{"a.3", Failed, ""}, ""},
		"rejected":      {frame('Y', "a.3 REJECTED 0 -\n"), Reply{"a.3", Rejected, ""}, ""},
		"after a probe": {frame('G', "OK") + frame('T', "-") + frame('Y', "a.3 OK 0 -\nv"), Reply{"a.3", Succeeded, "v"}, ""},
		"odd report":    {frame('Y', "a.3 OK 0 qps=\xff \x00 9\nv"), Reply{"a.3", Succeeded, "v"}, ""},
		"no text":       {frame('Y', "a.3 OK 0 -\n\xff"), Reply{}, "no text"},
		"two in one":    {frame('Y', "a.3 OK 0 -\nv"+frame('Y', "a.4 OK 0 -\nw")), Reply{}, "no text"},
		"odd score":     {frame('Y', "a.3 OK high -\nv"), Reply{}, `the score "high"`},
		"no use":        {frame('N', "what is that"), Reply{}, "could not use a frame"},
		"other letter":  {frame('Q', ""), Reply{}, `the letter 'Q'`},
		"other end":     {frame('Y', "a.3 MAYBE 0 -\n"), Reply{}, `the end "MAYBE"`},
		"no line":       {frame('Y', "a.3 OK 0 -"), Reply{}, "opens with"},
		"three words":   {frame('Y', "a.3 OK -\n"), Reply{}, "opens with"},
		"empty frame":   {"\x00\x00\x00\x00", Reply{}, "EOF"},
		"no letter":     {"\x00\x00\x00\x00Y", Reply{}, "0 bytes"},
		"huge":          {"\x7f\xff\xff\xffY", Reply{}, "2147483647 bytes"},
		"cut short":     {frame('Y', "a.3 OK 0 -\n")[:9], Reply{}, "unexpected EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := readReply(bufio.NewReader(strings.NewReader(c.in)), func() {})
			if got != c.want || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
}

// FuzzFrames feeds arbitrary bytes to both decoders. What can be decoded must be the same after encoding and
// decoding it again.
func FuzzFrames(f *testing.F) {
	f.Add(appendCall(nil, []Part{{"a.3", 3, 240, []byte("text")}, {"a.4", 4, 1, nil}}))
	f.Add(AppendReply(nil, Reply{"a.3", Succeeded, "v"}, "qps=3"))
	f.Add(AppendFrame(AppendFrame(nil, LetterProbe, "OK"), LetterUnusable, "words"))
	f.Add([]byte("\x00\x00\x00\x05R\n\n\n\n"))
	f.Add([]byte("\xff\xff\xff\xffY"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if reply, err := readReply(bufio.NewReader(bytes.NewReader(in)), func() {}); err == nil {
			again, err := readReply(bufio.NewReader(bytes.NewReader(AppendReply(nil, reply, "-"))), func() {})
			if err != nil || again != reply {
				t.Errorf("%v was decoded as %v, %v", reply, again, err)
			}
		}
		_, rest, err := ReadFrame(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			return
		}
		if parts, err := ParseCall(rest); err == nil {
			again, err := ParseCall(appendCall(nil, parts)[5:])
			if err != nil || !reflect.DeepEqual(again, parts) {
				t.Errorf("%v was decoded as %v, %v", parts, again, err)
			}
		}
	})
}
