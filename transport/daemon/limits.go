package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"willowsill/deployment/settings"
)

// SoftMemoryLimitShare is the share of the memory limit beyond which the garbage collector runs more often.
const SoftMemoryLimitShare = 0.6

// applyLimits sets the garbage collector's soft memory limit and the number of threads that run Go code at the same time.
func applyLimits(limits settings.Limits) {
	if memory := limits.MemoryBytes(); memory > 0 {
		debug.SetMemoryLimit(int64(SoftMemoryLimitShare * float64(memory)))
	}
	if cores := int(math.Ceil(float64(limits.CoreCount))); cores > 0 && cores < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
}
