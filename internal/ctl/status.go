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
	maxStatusAddresses        = 8192 // Addresses in one call; the design scale has 8,000 instances.
)

// InstanceStatus is what an instance reports of itself on its operators'
// listener.
type InstanceStatus struct {
	Address  string `json:"address"` // ip:port of the operators' listener.
	Name     string `json:"name,omitempty"`
	Domain   string `json:"domain,omitempty"`
	Version  uint64 `json:"version"` // Version of the document in force; 0 when there is none.
	Leaving  bool   `json:"leaving"`
	InFlight int64  `json:"inFlight"` // Requests in flight.
	Error    string `json:"error,omitempty"`
}

// Status is the published version and the state of the instances.
type Status struct {
	Published uint64           `json:"published"`
	Instances []InstanceStatus `json:"instances"`
}

func (c *invocation) statusCommand() *ffcli.Command {
	fs := c.newFlagSet("status")
	c.addPlatformFlag(fs)
	return c.newCommand("status", "[ADDRESS...]", "Shows the published version and the version in force at instances.",
		"The addresses are those of the operators' listeners, ip:port.", fs, c.status)
}

func (c *invocation) status(ctx context.Context, addresses []string) error {
	if err := checkAddresses(addresses); err != nil {
		return err
	}
	s, err := c.readSession(ctx)
	if err != nil {
		return err
	}
	_, version, err := s.Publisher.Current(ctx)
	if err != nil {
		return err
	}
	status := Status{Published: version, Instances: fetchStatuses(ctx, addresses)}
	if err := c.print(status, status.text()); err != nil {
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

func fetchStatuses(ctx context.Context, addresses []string) []InstanceStatus {
	out := make([]InstanceStatus, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxParallelStatusRequests)
	for i, address := range addresses {
		group.Go(func() error {
			out[i] = statusOrError(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

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

func (s Status) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "published version %d\n", s.Published)
	if len(s.Instances) == 0 {
		return b.String()
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tNAME\tDOMAIN\tVERSION\tLEAVING\tIN FLIGHT\tERROR")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%d\t%s\n", i.Address, i.Name, i.Domain, i.Version, i.Leaving, i.InFlight, i.Error)
	}
	_ = w.Flush()
	return b.String()
}

// inForceError reports instances that do not answer or lack the published version.
func (s Status) inForceError() error {
	var behind []string
	for _, i := range s.Instances {
		if i.Error != "" || i.Version != s.Published {
			behind = append(behind, i.Address)
		}
	}
	if len(behind) == 0 {
		return nil
	}
	return &notInForceError{fmt.Sprintf("version %d is not in force at %s", s.Published, strings.Join(behind, ", "))}
}
