// Proxy is the proxy: it takes clients' requests and brings each part of them to a replica, as the decision
// module says.
package main

import (
	"willowsill/front/proxyserver"
	"willowsill/transport/daemon"
)

func main() { daemon.Main("proxy", "serves clients", proxyserver.Run) }
