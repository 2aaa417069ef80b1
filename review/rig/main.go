// The rig plays the cases of the review: the project's own programs as processes on loopback addresses, and stand-ins for all
// that the pages place outside of them. Its exit code is 1 where the rule was broken, 0 where it held, and 2 where the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// broken tells that a rule was broken.
var errBroken = errors.New("the rule was broken")

const longest = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]struct {
		fronts map[string]int
		play   func(r *rig, trouble bool) error
	}{
		"contents": {map[string]int{"abdali-hall": 1, "hakama-hall": 1, "port-hall": 2}, contents},
		"departed": {map[string]int{"abdali-hall": 1, "hakama-hall": 1, "port-hall": 2}, departed},
		"names":    {map[string]int{"abdali-hall": 1, "hakama-hall": 1, "port-hall": 1}, names},
	}
	chosen, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "there is no such case")
		os.Exit(2)
	}
	r, err := newRig(os.Args[2], chosen.fronts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ended := make(chan error, 1)
	go func() { ended <- chosen.play(r, trouble) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	select {
	case err = <-ended:
	case <-stopped:
		err = errors.New("the case was stopped")
	case <-time.After(longest):
		err = errors.New("the case took too long")
	}
	code := 2
	switch {
	case err == nil:
		code = 0
		r.say("result: the rule held")
	case errors.Is(err, errBroken):
		code = 1
		r.say("result: %v", err)
	default:
		r.say("result: could not run: %v", err)
	}
	fmt.Println("exit", code, err)
	r.strike()
	os.Exit(code)
}

// raise starts the deployment with a first configuration and waits until all frontends are ready.
func (r *rig) raise(first string) error {
	if err := r.lay(); err != nil {
		return err
	}
	for _, m := range append(append([]*machine{}, r.cores...), r.fronts...) {
		if err := r.boot(m); err != nil {
			return err
		}
	}
	r.say("platform: all machines are started")
	time.Sleep(3 * time.Second) // bootstrap is for the first start alone
	r.firstRun = false
	if status := r.order("operator 1, the first configuration", r.controls(0), first, 15*time.Second); status != 200 {
		return fmt.Errorf("the first configuration was answered %d", status)
	}
	if !r.allReady(15 * time.Second) {
		return errors.New("the frontends did not become ready")
	}
	r.say("platform: all frontends are ready")
	return nil
}
