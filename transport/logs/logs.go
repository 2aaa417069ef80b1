// Package logs sets up the logs of the system's programs: klog, written as JSON lines to standard error. It
// makes no decisions of its own.
package logs

import (
	"bytes"
	"io"
	"log/slog"
	"os"

	"k8s.io/klog/v2"

	"willowsill/transport/logwriter"
)

// Open returns a writer to standard error for a program's log.
func Open() *logwriter.Writer {
	return logwriter.New(os.Stderr, func(dropped int) []byte {
		var line bytes.Buffer
		slog.New(handler(&line)).Warn("lines of the log are missing, since nobody has read it", "dropped", dropped)
		return line.Bytes()
	})
}

// handler returns the handler that formats lines.
func handler(to io.Writer) slog.Handler {
	return slog.NewJSONHandler(to, &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.SourceKey {
			return slog.Attr{}
		}
		return a
	}})
}

// Setup configures the logs of a program. The name of its node is empty as long as the program has no settings.
func Setup(to io.Writer, program, node string) {
	klog.SetSlogLogger(slog.New(handler(to)).With("program", program, "node", node))
}
