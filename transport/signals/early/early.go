//go:build cgo

// Package early ignores SIGHUP from the moment at which a process is loaded until signals.Catch handles it. It is imported for this
// effect by programs that call signals.Catch and read their settings afterwards. Without cgo it has none.
//
// Danger: the Go runtime, and the packages that are initialized before main, take milliseconds on an idle machine and a tenth of
// a second on a busy one. SIGHUP says in that time that settings have changed which are yet to be read, and it would end the process.
package early

import "C" // ignore.c runs before the Go runtime
