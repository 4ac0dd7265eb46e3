package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"
)

const (
	statusTimeout             = 3 * time.Second
	maxParallelStatusRequests = 16
	maxStatusBytes            = 64 << 10
	maxStatusAddresses        = 8192 // Per command; the design scale is 8,000 instances.
)

// InstanceStatus is the status that an instance reports on its operators'
// listener.
type InstanceStatus struct {
	Address  string `json:"address"` // ip:port of the operators' listener.
	Name     string `json:"name,omitempty"`
	Domain   string `json:"domain,omitempty"`
	Version  uint64 `json:"version"` // Version of the document in force; 0 if there is none.
	Leaving  bool   `json:"leaving"`
	InFlight int64  `json:"inFlight"` // Number of requests in flight.
	Error    string `json:"error,omitempty"`
}

// Status is the result of the subcommand status.
type Status struct {
	Published uint64           `json:"published"`
	Instances []InstanceStatus `json:"instances"`
}

func (inv *invocation) statusCommand() *ffcli.Command {
	fs := inv.newFlagSet("status")
	inv.addPlatformFlag(fs)
	return inv.newCommand("status", "[ADDRESS...]", "Shows the published version and the version in force at instances.",
		"The addresses are those of the operators' listeners, ip:port.", fs, inv.status)
}

func (inv *invocation) status(ctx context.Context, addresses []string) error {
	if err := checkAddresses(addresses); err != nil {
		return err
	}
	session, err := inv.readSession(ctx)
	if err != nil {
		return err
	}
	_, version, err := session.Publisher.Current(ctx)
	if err != nil {
		return err
	}
	status := Status{Published: version, Instances: fetchStatuses(ctx, addresses)}
	if err := inv.print(status, status.text()); err != nil {
		return err
	}
	return status.inForceError()
}

func checkAddresses(addresses []string) error {
	if len(addresses) > maxStatusAddresses {
		return newUsageError(fmt.Sprintf("more than %d addresses", maxStatusAddresses))
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return newUsageError(fmt.Sprintf("%q is not an ip:port address", address))
		}
	}
	return nil
}

// fetchStatuses fetches the status of several instances concurrently.
func fetchStatuses(ctx context.Context, addresses []string) []InstanceStatus {
	statuses := make([]InstanceStatus, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxParallelStatusRequests)
	for i, address := range addresses {
		group.Go(func() error {
			statuses[i] = statusOrError(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}

// statusOrError fetches the status of an instance. A failure is returned in its
// Error field.
func statusOrError(ctx context.Context, address string) InstanceStatus {
	status, err := fetchStatus(ctx, address)
	status.Address = address
	if err != nil {
		status.Error = err.Error()
	}
	return status
}

func fetchStatus(ctx context.Context, address string) (InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return InstanceStatus{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return InstanceStatus{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return InstanceStatus{}, fmt.Errorf("status %d", response.StatusCode)
	}
	var status InstanceStatus
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}

func (status Status) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "published version %d\n", status.Published)
	if len(status.Instances) == 0 {
		return text.String()
	}
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tNAME\tDOMAIN\tVERSION\tLEAVING\tIN FLIGHT\tERROR")
	for _, instance := range status.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%t\t%d\t%s\n", instance.Address, instance.Name, instance.Domain, instance.Version, instance.Leaving, instance.InFlight, instance.Error)
	}
	_ = table.Flush()
	return text.String()
}

// inForceError returns an error that lists the instances that do not respond or do
// not have the published version in force, or nil if there are none.
func (status Status) inForceError() error {
	var behind []string
	for _, instance := range status.Instances {
		if instance.Error != "" || instance.Version != status.Published {
			behind = append(behind, instance.Address)
		}
	}
	if len(behind) == 0 {
		return nil
	}
	return &notInForceError{fmt.Sprintf("version %d is not in force at %s", status.Published, strings.Join(behind, ", "))}
}
