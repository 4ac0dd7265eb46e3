package experiment

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/settings"
)

// Layout is a deployment to start: regions of two failure domains each.
type Layout struct {
	Regions            []string
	InstancesPerDomain int
	TargetsPerDomain   int // Targets of each service in each domain.
	LinkCapMbit        int // Cap of each link between two regions, in megabits per second.
	Services           []ServiceLayout
}

// ServiceLayout describes the targets of one service.
type ServiceLayout struct {
	Name        string
	Idempotent  bool
	Slots       int
	ServiceTime string // Duration of one execution, for example "20ms".
}

// instancePlan is the configuration of one entry instance.
type instancePlan struct {
	settings     settings.Settings
	settingsFile string
}

type deploymentPlan struct {
	platform  string
	instances []instancePlan
	targets   []policy.Target
	document  policy.Document
}

func domainNames(region string) []string {
	return []string{region + "-a", region + "-b"}
}

// plan assigns addresses and builds the document.
func (l Layout) plan() (*deploymentPlan, error) {
	ports := &portAllocator{}
	d := &deploymentPlan{platform: ports.allocate()}
	d.document = policy.Document{Version: 1, LogLevel: "info",
		Timing: policy.Timing{LookupTTLMs: 1000, DefaultDeadlineMs: 5000, MaxDeadlineMs: 30000}}
	for _, s := range l.Services {
		d.document.Services = append(d.document.Services, policy.Service{
			Name: s.Name, PathPrefix: "/" + s.Name, Idempotent: s.Idempotent, MaxQueueMs: 4000})
	}
	block := 0
	for _, region := range l.Regions {
		d.document.Regions = append(d.document.Regions, policy.Region{Name: region, Domains: domainNames(region)})
		for _, other := range l.Regions {
			if other != region {
				d.document.Links = append(d.document.Links, policy.Link{From: region, To: other, CapMbit: l.LinkCapMbit})
			}
		}
		for _, domain := range domainNames(region) {
			l.planDomain(d, ports, region, domain)
			d.document.Sites = append(d.document.Sites, policy.Site{Name: domain, Domain: domain, Regions: l.regionPreference(region)})
			d.document.Blocks = append(d.document.Blocks, policy.Block{Prefix: fmt.Sprintf("10.%d.0.0/16", block), Site: domain})
			block++
		}
	}
	d.document.Targets = d.targets
	return d, ports.err
}

// regionPreference lists the regions with the given one first.
func (l Layout) regionPreference(region string) []string {
	out := []string{region}
	for _, other := range l.Regions {
		if other != region {
			out = append(out, other)
		}
	}
	return out
}

func (l Layout) planDomain(d *deploymentPlan, ports *portAllocator, region, domain string) {
	for i := range l.InstancesPerDomain {
		d.instances = append(d.instances, instancePlan{settings: settings.Settings{
			Name: fmt.Sprintf("%s-%d", domain, i+1), Region: region, Domain: domain,
			CallerAddress: ports.allocate(), PeerAddress: ports.allocate(), OperatorAddress: ports.allocate(),
			Platform: d.platform, OperatorKeys: []string{},
		}})
	}
	for _, s := range l.Services {
		for i := range l.TargetsPerDomain {
			d.targets = append(d.targets, policy.Target{
				Name: fmt.Sprintf("%s-%s-%d", s.Name, domain, i+1), Service: s.Name, Domain: domain,
				Address: ports.allocate(), Slots: s.Slots, Connections: 330,
			})
		}
	}
}

// writeFiles stores the settings, the list of instances and the document in dir.
func (d *deploymentPlan) writeFiles(dir string) error {
	var list []kv.Instance
	for i := range d.instances {
		n := &d.instances[i]
		n.settingsFile = filepath.Join(dir, n.settings.Name+".json")
		if err := writeJSON(n.settingsFile, n.settings); err != nil {
			return err
		}
		s := n.settings
		list = append(list, kv.Instance{Name: s.Name, Region: s.Region, Domain: s.Domain,
			PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, State: kv.InstanceLive})
	}
	if err := writeJSON(filepath.Join(dir, "instances.json"), list); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "policy.json"), d.document)
}

func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o600)
}

// portAllocator hands out loopback addresses that were free a moment ago.
type portAllocator struct {
	used map[string]bool
	err  error
}

func (p *portAllocator) allocate() string {
	if p.used == nil {
		p.used = map[string]bool{}
	}
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.err = err
			return ""
		}
		address := l.Addr().String()
		_ = l.Close()
		if !p.used[address] {
			p.used[address] = true
			return address
		}
	}
}
