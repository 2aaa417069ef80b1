package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// dayReport holds the fields that are read from the report of the operators' benchmark on one simulated day.
type dayReport struct {
	G       float64
	Fault   any
	Breaks  map[string]any
	Parts   [][]any // name, weight, earned share of the weight's value
	Prices  [][]any // name, quantity, share of the day's value that is deducted
	Classes []struct {
		Name                     string
		N, Late, Refused, Failed int
		Worth                    float64
	}
	AckMs *float64 `json:"config_ack_ms"`
}

// loss is one cause of lost value and the share of the day's value that it cost.
type loss struct {
	cause string
	value float64
}

// losses returns all losses of the day, the largest first.
func (r dayReport) losses() (all []loss) {
	num := func(v any) float64 { f, _ := v.(float64); return f }
	for _, p := range r.Parts {
		if len(p) == 3 {
			all = append(all, loss{fmt.Sprint("not earned, ", p[0]), num(p[1]) * (1 - num(p[2]))})
		}
	}
	for _, p := range r.Prices {
		if len(p) == 3 {
			all = append(all, loss{fmt.Sprint("price, ", p[0]), num(p[2])})
		}
	}
	slices.SortStableFunc(all, func(a, b loss) int { return cmp.Compare(b.value, a.value) })
	return all
}

// lossesCommand prints the largest losses of each day from the reports of the operators' benchmark.
func lossesCommand() *cobra.Command {
	var maxCauses int
	c := &cobra.Command{Use: "losses REPORT ...", Short: "Print the largest losses of days, from the reports of the operators' benchmark",
		Long:    "Reads the files that `run ... --report FILE` of the operators' benchmark has written, and prints broken rules, the losses of each\nday by cause and by class of requests, and the time that acknowledgements of configurations took.",
		Example: "  willowlab losses reports/*.json", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "day\tworth\tlost to, in points of the day's worth")
			var acks []float64
			broken := 0
			for _, file := range files {
				text, err := os.ReadFile(file)
				if err != nil {
					return err
				}
				var r dayReport
				if err := json.Unmarshal(text, &r); err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				if r.AckMs != nil {
					acks = append(acks, *r.AckMs)
				}
				line := ""
				if len(r.Breaks) > 0 || r.Fault != nil {
					broken++
					line = fmt.Sprintf("BROKEN %v %v; ", r.Breaks, r.Fault)
				}
				for i, l := range r.losses() {
					if i < maxCauses && l.value >= 0.0005 {
						line += fmt.Sprintf("%s %.3f; ", l.cause, l.value)
					}
				}
				fmt.Fprintf(w, "%s\t%.3f\t%s\n", filepath.Base(file), r.G, line)
				for _, k := range r.Classes {
					if k.Late+k.Refused+k.Failed > 0 {
						fmt.Fprintf(w, "\t\t%s: of %d late %d, refused %d, failed %d; worth %.3f\n", k.Name, k.N, k.Late, k.Refused, k.Failed, k.Worth)
					}
				}
			}
			w.Flush()
			slices.Sort(acks)
			fmt.Fprintf(c.OutOrStdout(), "%d days, %d with a broken rule or a fault", len(files), broken)
			if n := len(acks); n > 0 {
				fmt.Fprintf(c.OutOrStdout(), "; slowest acknowledgement of a day, ms: p50 %.0f, p99 %.0f, most %.0f", acks[n/2], acks[n*99/100], acks[n-1])
			}
			fmt.Fprintln(c.OutOrStdout())
			if broken > 0 {
				return errRuleBroken
			}
			return nil
		}}
	c.Flags().IntVar(&maxCauses, "most", 4, "causes printed per day")
	return c
}
