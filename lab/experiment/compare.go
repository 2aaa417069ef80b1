package experiment

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Decode reads a table that was kept.
func Decode(text []byte, name string) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if t.Format != tableFormat {
		return nil, fmt.Errorf("%s: a table of form %d, and form %d is known here", name, t.Format, tableFormat)
	}
	return t, nil
}

// DecodeAll reads the tables that a run printed; there is at least one.
func DecodeAll(text []byte, name string) ([]*Table, error) {
	var all []*Table
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(all) == 0 || all[0].Format != tableFormat {
		return nil, fmt.Errorf("%s: no tables of form %d", name, tableFormat)
	}
	return all, nil
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
			r.compareTo(&was)
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// JoinTables makes one table of those of the variants of e, whoever played which.
func (e *Experiment) JoinTables(tables ...*Table) (*Table, error) {
	all := *tables[0]
	all.Rows = nil
	for _, v := range e.Variants {
		for _, t := range tables {
			if t.Hash != all.Hash || t.Seeds != all.Seeds {
				return nil, fmt.Errorf("script %s with %d seeds, and %s with %d", all.Hash, all.Seeds, t.Hash, t.Seeds)
			}
			if i := slices.IndexFunc(t.Rows, func(r Row) bool { return r.Name == v.Name }); i >= 0 {
				all.Rows = append(all.Rows, t.Rows[i])
			}
		}
	}
	if len(all.Rows) != len(e.Variants) {
		return nil, fmt.Errorf("%d rows for %d variants", len(all.Rows), len(e.Variants))
	}
	all.compareToFirst()
	return &all, nil
}
