package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun is the time after which a case ends in any event.
const longestRun = 100 * time.Second

// cases are the cases by number. Each returns how many times the rule was broken.
var cases = map[int]func(w *world, trouble bool) (int, error){}

func main() { os.Exit(run()) }

func run() int {
	number := flag.Int("case", 0, "number of the case")
	program := flag.String("program", "target/jacinth-node", "program of the entry instances")
	record := flag.String("record", "record.txt", "file for what was seen")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	log.SetOutput(io.Discard) // Of the proxies to the store: calls that the machines have ended.
	play := cases[*number]
	if play == nil {
		fmt.Println("there is no such case")
		return exitNotRun
	}
	w, err := newWorld(*program, *record)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longestRun):
			fmt.Println("not done in time")
		}
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w, *trouble)
	switch {
	case err != nil:
		w.record.add("not run: %s", err)
		fmt.Println(err)
		return exitNotRun
	case broken > 0:
		w.record.add("the rule was broken %d times", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	w.record.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
