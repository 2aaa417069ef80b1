package experiment

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Decode decodes a stored table. name is its file name, for errors.
func Decode(text []byte, name string) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if t.Format != tableFormat {
		return nil, fmt.Errorf("%s: the table has format %d, and this program reads format %d", name, t.Format, tableFormat)
	}
	return t, nil
}

// DecodeAll decodes the list of tables that a run with --json has printed, which must not be empty.
func DecodeAll(text []byte, name string) ([]*Table, error) {
	var all []*Table
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(all) == 0 || all[0].Format != tableFormat {
		return nil, fmt.Errorf("%s: no tables of format %d", name, tableFormat)
	}
	return all, nil
}

// Compare compares the variants that two tables have in common, seed by seed. It returns the rows of the second table, with Against
// and the confidence interval relative to the same variant of the first.
//
// Danger: runs of different scripts or numbers of seeds can't be paired, so such tables are an error.
func Compare(first, second *Table) ([]Row, error) {
	if first.Hash != second.Hash {
		return nil, fmt.Errorf("the tables are of different scripts, %s and %s", first.Hash, second.Hash)
	}
	if first.Seeds != second.Seeds {
		return nil, fmt.Errorf("the tables have different numbers of seeds, %d and %d", first.Seeds, second.Seeds)
	}
	var rows []Row
	for _, r := range second.Rows {
		for _, other := range first.Rows {
			if other.Name != r.Name {
				continue
			}
			r.compareTo(&other)
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// JoinTables joins the tables of separate programs, each with some variants of e, into one table in the script's order.
func (e *Experiment) JoinTables(tables ...*Table) (*Table, error) {
	all := *tables[0]
	all.Rows = nil
	for _, v := range e.Variants {
		for _, t := range tables {
			if t.Hash != all.Hash || t.Seeds != all.Seeds {
				return nil, fmt.Errorf("the tables differ: script %s with %d seeds, and script %s with %d seeds", all.Hash, all.Seeds, t.Hash, t.Seeds)
			}
			if i := slices.IndexFunc(t.Rows, func(r Row) bool { return r.Name == v.Name }); i >= 0 {
				all.Rows = append(all.Rows, t.Rows[i])
			}
		}
	}
	if len(all.Rows) != len(e.Variants) {
		return nil, fmt.Errorf("the tables have rows for %d of %d variants", len(all.Rows), len(e.Variants))
	}
	all.compareToFirst()
	return &all, nil
}
