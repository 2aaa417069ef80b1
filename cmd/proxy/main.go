// Proxy accepts clients' requests and sends each part of them to a replica that the decision module chooses.
package main

import (
	"willowsill/front/proxyserver"
	"willowsill/transport/daemon"
	_ "willowsill/transport/signals/early"
)

func main() { daemon.Main(proxyserver.Program) }
