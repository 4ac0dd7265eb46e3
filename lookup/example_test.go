package lookup_test

import (
	"fmt"
	"net/netip"

	"github.com/jacinthstall/jacinthstall/lookup"
)

// The longest prefix that contains an address determines its site.
func ExampleTable() {
	table, err := lookup.NewTable([]lookup.Block{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: 1},
		{Prefix: netip.MustParsePrefix("10.7.0.0/16"), Site: 2},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(table.Lookup(netip.MustParseAddr("10.7.1.1")))
	fmt.Println(table.Lookup(netip.MustParseAddr("10.8.1.1")))
	fmt.Println(table.Lookup(netip.MustParseAddr("192.0.2.1")))
	// Output:
	// 2 true
	// 1 true
	// 0 false
}
