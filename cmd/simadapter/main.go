// Command simadapter plays the decision module on the simulator's wire: events on standard input, actions on
// standard output. It ends with 0 when the input ends, and with 1 and one line on standard error when the
// input is malformed.
package main

import (
	"fmt"
	"os"

	"willowsill/transport/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
