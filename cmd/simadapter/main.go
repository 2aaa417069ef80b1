// Command simadapter connects the decision module to an external simulator: it reads events from standard input and writes actions to
// standard output. It exits with 0 at the end of the input. Malformed input makes it print one line to standard error and exit
// with 1.
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
