// Command gentable prints the table of policies for docs/decisions.
package main

import (
	"fmt"

	"github.com/jacinthstall/jacinthstall/internal/policybench"
)

func main() {
	fmt.Print(policybench.Markdown(policybench.FullSize.Compare()))
}
