package experiment

import (
	"encoding/json"
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// Decode reads a table that was kept.
func Decode(text []byte, name string) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if t.Form != form {
		return nil, fmt.Errorf("%s: a table of form %d, and form %d is known here", name, t.Form, form)
	}
	return t, nil
}

// Compare holds the same variants of two tables against each other, seed by seed. Its rows are of the second, Against and the
// interval by the first.
//
// Danger: tables of other scripts, or of other seeds, have nothing to be paired.
func Compare(first, second *Table) ([]Row, error) {
	if first.Hash != second.Hash {
		return nil, fmt.Errorf("the tables are of other scripts, %s and %s", first.Hash, second.Hash)
	}
	if first.Seeds != second.Seeds {
		return nil, fmt.Errorf("%d seeds and %d", first.Seeds, second.Seeds)
	}
	var rows []Row
	for _, r := range second.Rows {
		for _, was := range first.Rows {
			if was.Name != r.Name {
				continue
			}
			var more []float64
			for i := range r.Shares {
				more = append(more, r.Shares[i]-was.Shares[i])
			}
			r.Against = stat.Mean(more, nil)
			r.Low, r.High = Interval(more)
			r.Verdict = verdict(r.Low, r.High)
			rows = append(rows, r)
		}
	}
	return rows, nil
}
