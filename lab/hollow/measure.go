package hollow

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	ticksASecond = 100 // of the kernel's processor times
	megabyte     = 1e6
)

// usage is what a process has spent since its start.
type usage struct {
	at             time.Time
	processor      float64 // seconds
	resident       float64 // bytes, now
	sent, received float64 // bytes
}

// usage of all processes, now.
func (s *stage) usage() map[*group]usage {
	all := map[*group]usage{}
	for _, g := range s.groups {
		all[g] = g.usage()
	}
	return all
}

func (g *group) usage() usage {
	folder := filepath.Join("/proc", strconv.Itoa(g.child.Process.Pid))
	counts := fields(filepath.Join(folder, "io"))
	memory := fields(filepath.Join(folder, "status"))
	u := usage{at: time.Now(), processor: processorSeconds(filepath.Join(folder, "stat")), resident: memory["VmRSS"] * 1024,
		received: counts["rchar"], sent: counts["wchar"]}
	if info, err := os.Stat(g.log); err == nil {
		u.sent -= float64(info.Size())
	}
	return u
}

// fields reads lines of the form "name: number".
func fields(file string) map[string]float64 {
	numbers := map[string]float64{}
	text, _ := os.ReadFile(file)
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		if words := strings.Fields(rest); len(words) > 0 {
			numbers[name], _ = strconv.ParseFloat(words[0], 64)
		}
	}
	return numbers
}

// processorSeconds reads the time in user and kernel mode, the 14th and 15th field; the 2nd may hold spaces.
func processorSeconds(file string) (seconds float64) {
	text, _ := os.ReadFile(file)
	_, rest, _ := strings.Cut(string(text), ") ")
	words := strings.Fields(rest)
	if len(words) < 13 {
		return 0
	}
	for _, word := range words[11:13] {
		ticks, _ := strconv.ParseFloat(word, 64)
		seconds += ticks / ticksASecond
	}
	return seconds
}

// roles sums what the processes of each role spent between two looks, a unit.
func (s *stage) roles(before, after map[*group]usage) (roles []Role) {
	for _, g := range s.groups {
		at := slices.IndexFunc(roles, func(r Role) bool { return r.Name == g.role })
		if at < 0 {
			roles, at = append(roles, Role{Name: g.role}), len(roles)
		}
		roles[at].book(g, before[g], after[g])
	}
	for i := range roles {
		r := &roles[i]
		units := float64(max(r.Units, 1))
		r.Core, r.MB, r.Sent, r.Received, r.StartSent = r.Core/units, r.MB/units, r.Sent/units, r.Received/units, r.StartSent/units
	}
	return roles
}

// book adds one process.
func (r *Role) book(g *group, before, after usage) {
	span, units := after.at.Sub(before.at).Seconds(), float64(max(g.units, 1))
	core := 100 * (after.processor - before.processor) / span
	sent := (after.sent - before.sent) / span
	r.Processes++
	r.Units += g.units
	r.Core += core
	r.CoreMost = max(r.CoreMost, core/units)
	r.MB += after.resident / megabyte
	r.MBMost = max(r.MBMost, after.resident/megabyte/units)
	r.Sent += sent
	r.SentMost = max(r.SentMost, sent/units)
	r.Received += (after.received - before.received) / span
	r.StartSent += before.sent
}

// Print writes a result as a table.
func (r *Result) Print(out io.Writer) {
	o := r.Options
	fmt.Fprintf(out, "%d controllers, %d co-ordinators and %d replicas in %d zones, %d routes (%d bytes, %d packed), %.3g changes and %.3g replaced replicas a minute, %v\n",
		o.Controllers, o.Edges, o.Replicas, o.Zones, o.Routes, r.RawBytes, r.PackedBytes, o.ChangesPerMinute, o.ChurnPerMinute, o.Span)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "role\tprocesses\tunits\tcore %\tmost\tMB\tmost\tKB/s sent\tmost\tKB/s received\tKB sent at start\t")
	for _, u := range r.Roles {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t\n", u.Name, u.Processes, u.Units, u.Core, u.CoreMost, u.MB,
			u.MBMost, u.Sent/1000, u.SentMost/1000, u.Received/1000, u.StartSent/1000)
	}
	w.Flush()
	fmt.Fprintf(out, "all co-ordinators held the first configuration after %.1f s\n", r.StartSeconds)
	if r.Changes > 0 {
		fmt.Fprintf(out, "%d changes: acknowledged after %s ms, told to half after %s ms and to all after %s ms more (middle / longest); %d not to all\n",
			r.Changes, spread(r.AckMS), spread(r.MiddleMS), spread(r.InForceMS), r.NotEverywhere)
	}
	if b := r.Beats; b.Acknowledged > 0 {
		fmt.Fprintf(out, "heartbeats: %.0f a second acknowledged, %d refused, %d lost; %.1f ms in the middle, %.1f for 99 of 100, %.1f at the most\n",
			float64(b.Acknowledged)/b.Seconds, b.Refused, b.Lost, b.MedianMS, b.P99MS, b.MostMS)
	}
}

func spread(all []float64) string {
	if len(all) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(all))
	return fmt.Sprintf("%.1f / %.1f", sorted[len(sorted)/2], sorted[len(sorted)-1])
}
