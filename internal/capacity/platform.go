package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/membership"
)

// frequentListReaders is how many instances of a failure domain read the platform's
// instance list every ListInterval; the others read it every ReducedListInterval.
const frequentListReaders = 2

// instanceListBytes returns the size of the platform's instance list for a fleet.
func instanceListBytes(members int) (int, error) {
	list := make([]kv.Instance, members)
	for i := range list {
		u := memberUpdate(i)
		list[i] = kv.Instance{Name: u.Name, Region: u.Region, Domain: u.Domain, PeerAddress: u.PeerAddress, CallerAddress: u.CallerAddress}
	}
	data, err := json.Marshal(list)
	return len(data), err
}

// MeasurePlatformList measures the reads of the platform's instance list by the
// whole fleet. The bytes are those received by one instance that reads every
// ReducedListInterval.
func MeasurePlatformList() ([]Row, error) {
	var rows []Row
	for _, size := range fleetSizes {
		bytes, err := instanceListBytes(size)
		if err != nil {
			return nil, err
		}
		frequentReaders := float64(domainCount * frequentListReaders)
		reads := frequentReaders/membership.ListInterval.Seconds() + (float64(size)-frequentReaders)/membership.ReducedListInterval.Seconds()
		rows = append(rows, Row{Role: "platform list", Size: size, SizeUnit: "members", MessagesPerSecond: reads,
			BytesPerSecond: float64(bytes) / membership.ReducedListInterval.Seconds(),
			Note:           fmt.Sprintf("reads/s of the fleet; list of %d B; bytes received by one instance", bytes)})
	}
	return rows, nil
}
