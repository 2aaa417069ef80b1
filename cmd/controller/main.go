// Controller is a control-plane process. It stores its copy of the replicated register on disk, accepts heartbeats from replicas and
// configurations from operators, and sends the committed state to the edges.
package main

import (
	"willowsill/transport/controlserver"
	"willowsill/transport/daemon"
	_ "willowsill/transport/signals/early"
)

func main() { daemon.Main(controlserver.Program) }
