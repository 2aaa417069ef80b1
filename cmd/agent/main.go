// Agent is the agent beside a proxy: it follows the controllers and feeds the proxy over loopback, so that
// the proxy has nobody else to know.
package main

import (
	"willowsill/transport/agentserver"
	"willowsill/transport/daemon"
)

func main() {
	daemon.Main("agent", "keeps the link to the controllers for the proxy beside it", agentserver.Run)
}
