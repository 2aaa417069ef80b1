// Controller is a control process: it keeps a part of the register on its disk, takes heartbeats and
// configurations, and tells the edges what stands.
package main

import (
	"willowsill/transport/controlserver"
	"willowsill/transport/daemon"
)

func main() { daemon.Main("controller", "serves replicas and operators", controlserver.Run) }
