// Command toyreplica runs stand-in replicas for experiments: at each given address it answers every part, after waiting for the
// simulated processing time, with a hash of the part's text and shard.
package main

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"time"

	"willowsill/standin"
	"willowsill/transport/replica"
)

func main() {
	work := flag.Duration("work", 50*time.Millisecond, "processing time of a part")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: toyreplica [-work TIME] ADDRESS ...")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() == 0 {
		flag.Usage()
		os.Exit(2)
	}
	ended := make(chan error)
	for _, address := range flag.Args() {
		l, err := net.Listen("tcp", address)
		if err != nil {
			fmt.Fprintln(os.Stderr, "toyreplica:", err)
			os.Exit(1)
		}
		standIn := standin.Replica{Answer: func(ctx context.Context, p replica.Part) (replica.Reply, bool) {
			select {
			case <-time.After(*work):
			case <-ctx.Done():
				return replica.Reply{}, false
			}
			sum := fnv.New64a()
			fmt.Fprint(sum, string(p.Text), p.Shard)
			return replica.Reply{ID: p.ID, Value: fmt.Sprintf("%016x", sum.Sum64())}, true
		}}
		go func() { ended <- standIn.Serve(l) }()
	}
	fmt.Fprintln(os.Stderr, "toyreplica:", <-ended)
	os.Exit(1)
}
