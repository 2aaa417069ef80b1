package replica

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The replicas' side of the codec, for stand-ins.

var errCall = errors.New("a call that cannot be read")

// ParseCall decodes the rest of a call's frame.
func ParseCall(rest []byte) (parts []Part, err error) {
	for text := string(rest); text != ""; {
		line, after, ok := strings.Cut(text, "\n")
		words := strings.Split(line, " ")
		if !ok || len(words) != 4 || words[0] == "" {
			return nil, fmt.Errorf("%w: %.80q", errCall, line)
		}
		p := Part{ID: words[0]}
		if p.Shard, err = strconv.Atoi(words[1]); err != nil {
			return nil, fmt.Errorf("%w: shard: %w", errCall, err)
		}
		for _, item := range strings.Split(words[2], ",") {
			if name, v, _ := strings.Cut(item, "="); name == "d" {
				if p.Wait, err = strconv.ParseInt(v, 10, 64); err != nil {
					return nil, fmt.Errorf("%w: wait: %w", errCall, err)
				}
			}
		}
		n, err := strconv.Atoi(words[3])
		if err != nil || n < 0 || n > len(after) {
			return nil, fmt.Errorf("%w: length %.20q", errCall, words[3])
		}
		p.Text, text = []byte(after[:n]), after[n:]
		parts = append(parts, p)
	}
	if len(parts) == 0 {
		return nil, fmt.Errorf("%w: no part", errCall)
	}
	return parts, nil
}

// AppendReply adds the frame of a reply to buf.
func AppendReply(buf []byte, r Reply, report string) []byte {
	return AppendFrame(buf, LetterReply, r.ID+" "+endWords[r.End]+" 0 "+report+"\n"+r.Value)
}
