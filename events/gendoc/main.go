// Command gendoc prints docs/events.md from the event catalogue.
package main

import (
	"fmt"

	"github.com/jacinthstall/jacinthstall/events"
)

func main() {
	fmt.Print(events.Markdown())
}
