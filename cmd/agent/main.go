// Agent runs on each frontend machine beside a proxy. It receives updates from the controllers and passes them to the proxy over
// loopback, so that the proxy needs no other connection to the control plane.
package main

import (
	"willowsill/transport/agentserver"
	"willowsill/transport/daemon"
	_ "willowsill/transport/signals/early"
)

func main() {
	daemon.Main(agentserver.Program)
}
