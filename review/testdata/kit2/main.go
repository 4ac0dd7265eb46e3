package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The instances are to end with this process, and Linux ties that to the thread that
// has started them.
func init() { runtime.LockOSThread() }

func main() {
	name := flag.String("case", "", "poison, leaving or attempts")
	path := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	cases := map[string]func(*world, bool) (bool, error){"poison": poison, "leaving": leaving, "attempts": attempts}
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, *path, *trouble))
}

func play(run func(*world, bool) (bool, error), path string, trouble bool) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-kit2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w, err := newWorld(record, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stop()
	held, err := run(w, trouble)
	switch {
	case err != nil:
		record.write("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case held:
		record.write("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	record.write("the rule was broken")
	fmt.Println("the rule was broken")
	return exitBroken
}
