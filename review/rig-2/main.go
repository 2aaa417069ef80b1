// Program rig-2 plays the cases of the second review: it starts the programs of target/ as processes on loopback addresses, with
// stand-ins of clients, replicas and operators, and writes what was sent, answered and run to the record.txt of a case.
//
//	target/rig-2 NAME FOLDER
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// run is one play of a case.
type run struct {
	dir      string // temporary folder of the play
	binaries string // folder of the programs
	trouble  bool
	began    time.Time

	mu     sync.Mutex
	record *os.File
	runs   map[string]int // how often replicas have run a try
}

var cases = map[string]func(*run) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	dir, err := os.MkdirTemp("", "rig-2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	r := &run{dir: dir, binaries: "target", trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record, runs: map[string]int{}}
	r.note("case %s, trouble %v", name, r.trouble)
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		return 2
	case broken:
		r.note("the rule was broken")
		return 1
	}
	r.note("the rule held")
	return 0
}

// since returns the time since the play began.
func (r *run) since() time.Duration { return time.Since(r.began) }

// note writes a line to the record and to the standard output.
func (r *run) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", r.since().Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// quiet writes a line to the record alone.
func (r *run) quiet(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", r.since().Seconds(), fmt.Sprintf(format, values...))
}

// executed records that a replica has begun to run a request.
func (r *run) executed(s *replica, attempt string, req *http.Request, body []byte) {
	r.mu.Lock()
	r.runs[attempt]++
	r.mu.Unlock()
	r.quiet("replica %s runs %s %s, try %s, %d bytes", s.id, req.Method, req.RequestURI, attempt, len(body))
}

// runsOf returns how often replicas have run a try.
func (r *run) runsOf(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}
