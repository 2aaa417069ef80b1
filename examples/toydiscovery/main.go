// Command toydiscovery runs a stand-in discovery service for experiments. Each argument CELL=ADDRESS adds a replica to its list, with
// the names s-0, s-1 and so on. A line "NAME HEALTH" on standard input changes a replica's health.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"willowsill/standin"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:8500", "address to listen on")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: toydiscovery [-listen ADDRESS] CELL=ADDRESS ...")
		flag.PrintDefaults()
	}
	flag.Parse()
	hosts := map[string]standin.Host{}
	registry := standin.NewDiscovery()
	for i, argument := range flag.Args() {
		cellText, address, ok := strings.Cut(argument, "=")
		cell, err := strconv.Atoi(cellText)
		if !ok || err != nil {
			flag.Usage()
			os.Exit(2)
		}
		h := standin.Host{Host: fmt.Sprint("s-", i), Dial: address, Cell: cell, Health: "active", Share: 1}
		hosts[h.Host] = h
		registry.Change(h)
	}
	go func() {
		for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
			words := strings.Fields(lines.Text())
			if len(words) != 2 || hosts[words[0]].Host == "" {
				fmt.Fprintln(os.Stderr, "toydiscovery: want NAME and active, leaving or left")
				continue
			}
			h := hosts[words[0]]
			h.Health = words[1]
			registry.Change(h)
		}
	}()
	fmt.Fprintln(os.Stderr, "toydiscovery:", http.ListenAndServe(*listen, registry))
	os.Exit(1)
}
