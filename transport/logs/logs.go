// Package logs sets up the logs of the system's programs: klog, written as JSON lines to standard error. It
// makes no decisions of its own.
package logs

import (
	"log/slog"
	"os"
	"runtime/debug"

	"k8s.io/klog/v2"

	"willowsill/deployment/settings"
)

const (
	softMemoryLimitShare = 0.6 // share of the memory limit beyond which the garbage collector runs more often
	bytesPerMB           = 1 << 20
)

// Setup configures the logs of a program, and the garbage collector's soft memory limit.
func Setup(program string, s settings.Settings) {
	h := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.SourceKey {
			return slog.Attr{}
		}
		return a
	}})
	klog.SetSlogLogger(slog.New(h).With("program", program, "node", s.Name))
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitShare * bytesPerMB * s.Limits.MemoryMB))
	}
}

// Flush writes buffered log lines; a program calls it before it exits.
func Flush() { klog.Flush() }
