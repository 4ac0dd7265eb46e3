// Command genpage prints docs/state-charts.md from the state charts.
package main

import (
	"fmt"
	"os"

	"github.com/jacinthstall/jacinthstall/charts"
	"github.com/jacinthstall/jacinthstall/lifecycle"
)

func main() {
	var list []*lifecycle.Chart
	for _, name := range []string{charts.EntryInstanceFile, charts.TargetFile} {
		c, err := lifecycle.Load(charts.Files, name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		list = append(list, c)
	}
	fmt.Print(lifecycle.Page(list...))
}
