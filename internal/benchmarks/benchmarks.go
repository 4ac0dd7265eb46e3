// Package benchmarks lists the groups of measured figures of all packages and runs
// them for the benchmark command. To add a package, export a Figures function there
// and add it to Groups.
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
	Name    string // Selects the group on the command line.
	Figures func() ([]figures.Figure, error)
}

// Groups returns all groups in the order in which Run measures and prints them.
func Groups() []Group {
	return []Group{
		{Name: "policy", Figures: policyFigures},
		{Name: "configuration", Figures: configtest.Figures},
		{Name: "capacity", Figures: capacity.Figures}, // Includes the look-up figures.
		{Name: "overhead", Figures: overheadFigures},
	}
}

func policyFigures() ([]figures.Figure, error) { return policybench.Figures(), nil }

func overheadFigures() ([]figures.Figure, error) { return overhead.Figures(), nil }
