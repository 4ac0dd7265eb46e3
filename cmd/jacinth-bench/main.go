// Command jacinth-bench runs the benchmarks and prints their figures with the
// bounds that they must meet. It exits with status 1 if a figure is out of bounds.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/internal/benchmarks"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-bench:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("jacinth-bench", flag.ContinueOnError)
	group := flags.String("only", "", "group of figures to measure; empty for all")
	format := flags.String("output", string(benchmarks.Text), "output format: text or json")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("JACINTH_BENCH")); err != nil {
		return err
	}
	return benchmarks.Run(os.Stdout, benchmarks.Groups(), *group, benchmarks.Output(*format))
}
