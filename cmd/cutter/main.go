// Cutter is the agent beside a pilot: it follows the lighthouses and feeds the pilot over loopback, so that
// the pilot has nobody else to know.
package main

import (
	"willowsill/carrier/crew"
	"willowsill/carrier/skiff"
)

func main() {
	crew.Main("cutter", "keeps the link to the lighthouses for the pilot beside it", skiff.Run)
}
