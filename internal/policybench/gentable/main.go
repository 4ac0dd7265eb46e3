// Command gentable prints the comparison table of dispatch policies for docs/decisions.
package main

import (
	"fmt"

	"github.com/jacinthstall/jacinthstall/internal/policybench"
)

func main() {
	fmt.Print(policybench.Markdown(policybench.FullSize.Compare()))
}
