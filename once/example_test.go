package once_test

import (
	"fmt"
	"time"

	"github.com/jacinthstall/jacinthstall/once"
	"github.com/jacinthstall/jacinthstall/outcome"
)

// A registry executes a key once and repeats the recorded answer.
func ExampleRegistry() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	registry, err := once.New(once.Issuer{Instance: "a-1", Incarnation: 1}, start)
	if err != nil {
		fmt.Println(err)
		return
	}
	prefix, _ := registry.Prefix(start)
	key, err := once.ParseKey(prefix.String() + ".enrolment-17")
	if err != nil {
		fmt.Println(err)
		return
	}
	request := once.Fingerprint{1}
	first := registry.Begin(start, key, request)
	first.Ticket.Finish(once.Result{Executed: outcome.Yes, Status: 201, Reason: outcome.ReasonResponded})
	second := registry.Begin(start, key, request)
	fmt.Println(first.Verdict, second.Verdict, second.Result.Status)
	// Output: run replay 201
}
