package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/membership"
)

// frequentListReaders are the instances of a domain that read the platform's list often.
const frequentListReaders = 2

// instanceListBytes returns the size of the platform's list of a fleet.
func instanceListBytes(members int) (int, error) {
	list := make([]kv.Instance, members)
	for i := range list {
		u := memberUpdate(i)
		list[i] = kv.Instance{Name: u.Name, Region: u.Region, Domain: u.Domain, PeerAddress: u.PeerAddress, CallerAddress: u.CallerAddress}
	}
	data, err := json.Marshal(list)
	return len(data), err
}

// PlatformList measures the reads of the platform's list by the whole fleet.
// Its bytes are those that one instance receives a second when it is not among
// the readers of its domain.
func PlatformList() ([]Row, error) {
	var rows []Row
	for _, size := range fleetSizes {
		bytes, err := instanceListBytes(size)
		if err != nil {
			return nil, err
		}
		frequentReaders := float64(domainCount * frequentListReaders)
		reads := frequentReaders/membership.ListInterval.Seconds() + (float64(size)-frequentReaders)/membership.SlowListInterval.Seconds()
		rows = append(rows, Row{Role: "platform list", Size: size, SizeUnit: "members", Messages: reads,
			Bytes: float64(bytes) / membership.SlowListInterval.Seconds(),
			Note:  fmt.Sprintf("reads/s of the fleet; list of %d B; bytes received by one instance", bytes)})
	}
	return rows, nil
}
