package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"willowsill/deployment/settings"
)

const (
	softMemoryLimitShare = 0.6 // share of the memory limit beyond which the garbage collector runs more often
	bytesPerMB           = 1 << 20
)

// applyLimits sets the garbage collector's soft memory limit and the number of threads that run Go code at the same time.
func applyLimits(limits settings.Limits) {
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitShare * bytesPerMB * limits.MemoryMB))
	}
	if cores := int(math.Ceil(float64(limits.CoreCount))); cores > 0 && cores < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
}
