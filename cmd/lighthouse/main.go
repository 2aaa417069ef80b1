// Lighthouse is a control process: it keeps a part of the register on its disk, takes heartbeats and
// configurations, and tells the edges what stands.
package main

import (
	"willowsill/carrier/crew"
	"willowsill/carrier/tower"
)

func main() { crew.Main("lighthouse", "serves replicas and operators", tower.Run) }
