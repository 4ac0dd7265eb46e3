// Package benchmarks lists the groups of measured figures of all packages. A
// package that measures figures exports func Figures; one line in Groups adds
// it to the benchmark command.
package benchmarks

import (
	"github.com/jacinthstall/jacinthstall/configsync/configtest"
	"github.com/jacinthstall/jacinthstall/internal/capacity"
	"github.com/jacinthstall/jacinthstall/internal/figures"
	"github.com/jacinthstall/jacinthstall/internal/overhead"
	"github.com/jacinthstall/jacinthstall/internal/policybench"
)

// Group is a set of figures that are measured together.
type Group struct {
	Name    string // For the command line.
	Figures func() ([]figures.Figure, error)
}

// Groups returns all groups in the order in which they are printed.
func Groups() []Group {
	return []Group{
		{Name: "policy", Figures: policyFigures},
		{Name: "configuration", Figures: configtest.Figures},
		{Name: "capacity", Figures: capacity.Figures}, // With the look-up figures.
		{Name: "overhead", Figures: overheadFigures},
	}
}

func policyFigures() ([]figures.Figure, error) { return policybench.Figures(), nil }

func overheadFigures() ([]figures.Figure, error) { return overhead.Figures(), nil }
