// Command fleet plays a model fleet of aggregators with the true deciders in virtual time and prints tables: what a
// shared store brings in each trouble, and what it costs when it fails.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"willowsill/internal/fleet"
)

func main() {
	var seeds, replicas, aggregators int
	var troubles, stores []string
	var asJSON, strict bool
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Play a model fleet with each trouble and each fault of the shared store, and print a table",
		Example: "  go run ./cmd/fleet --seeds 10\n" +
			"  go run ./cmd/fleet --seeds 3 --trouble 'one replica hangs' --store none,good --replicas 300 --json",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			wanted, err := pick(troubles, fleet.Troubles)
			if err != nil {
				return err
			}
			modes, err := pick(stores, fleet.StoreModes)
			if err != nil {
				return err
			}
			if !slices.Contains(modes, fleet.None) {
				modes = append([]fleet.StoreMode{fleet.None}, modes...)
			}
			if seeds < 1 || replicas < 5 || replicas%5 != 0 || replicas < 20 || aggregators < 1 {
				return errors.New("--seeds and --aggregators are 1 or more, --replicas 20 or more and a multiple of 5")
			}
			cells := fleet.Table(wanted, modes, seeds, func(p *fleet.Plan) {
				p.Rate *= float64(replicas) / float64(p.Replicas) * float64(p.Aggregators) / float64(aggregators)
				p.Replicas, p.Aggregators = replicas, aggregators
			})
			if asJSON {
				e := json.NewEncoder(os.Stdout)
				e.SetIndent("", "  ")
				if err := e.Encode(cells); err != nil {
					return err
				}
			} else if err := fleet.Write(os.Stdout, cells); err != nil {
				return err
			}
			if lower := fleet.Lower(cells); strict && len(lower) > 0 {
				return fmt.Errorf("lower than with no store in %d cells, the first %s with %s", len(lower), lower[0].Trouble,
					lower[0].Store)
			}
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 10, "days of each kind")
	c.Flags().IntVar(&replicas, "replicas", 60, "replicas, five of each shard; the load grows with them")
	c.Flags().IntVar(&aggregators, "aggregators", 100, "aggregators, which share the load")
	c.Flags().StringSliceVar(&troubles, "trouble", nil, "troubles to play (default all: "+list(fleet.Troubles)+")")
	c.Flags().StringSliceVar(&stores, "store", nil, "stores to play (default all: "+list(fleet.StoreModes)+")")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().BoolVar(&strict, "strict", false, "fail where service is lower than with no store")
	if c.Execute() != nil {
		os.Exit(2)
	}
}

func list[T ~string](all []T) string {
	s := make([]string, len(all))
	for i, x := range all {
		s[i] = string(x)
	}
	return strings.Join(s, ", ")
}

// pick reads names; none are all.
func pick[T ~string](names []string, all []T) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var picked []T
	for _, name := range names {
		if !slices.Contains(all, T(name)) {
			return nil, fmt.Errorf("%q is none of %s", name, list(all))
		}
		picked = append(picked, T(name))
	}
	return picked, nil
}
