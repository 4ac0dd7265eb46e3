package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(dir string){
	"endless-answer":   endlessAnswer,
	"crashing-request": crashingRequest,
	"crash-in-answer":  crashInAnswer,
	"silent-store":     silentStore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE FOLDER; cases:", sortedKeys(cases))
		os.Exit(exitNotRun)
	}
	cases[os.Args[1]](os.Args[2])
}
