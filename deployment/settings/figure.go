package settings

import (
	"math"
	"strconv"
	"strings"
)

// Figure is a number of the settings file, which the platform may write as a whole number or as a fraction. True and false state
// no number; a figure that is written as one of them is 0, as if the file left it out.
type Figure float64

// UnmarshalText reads a figure as TOML writes it.
func (f *Figure) UnmarshalText(text []byte) error {
	word := string(text)
	if word == "true" || word == "false" {
		*f = 0
		return nil
	}
	number, err := strconv.ParseFloat(strings.ReplaceAll(word, "_", ""), 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return ErrSettings.Errorf("%q is no figure", word)
	}
	*f = Figure(number)
	return nil
}
