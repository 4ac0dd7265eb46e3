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

// Layout describes a deployment. Each of its regions has two failure domains.
type Layout struct {
	Regions            []string
	InstancesPerDomain int
	TargetsPerDomain   int // Number of targets of each service in each failure domain.
	LinkCapMbit        int // Capacity of each link between two regions, in megabits per second.
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

// deploymentPlan holds the addresses and the configuration of all programs of a
// deployment.
type deploymentPlan struct {
	platform  string // Address of the platform stand-in.
	instances []instancePlan
	targets   []policy.Target
	document  policy.Document
}

func domainNames(region string) []string {
	return []string{region + "-a", region + "-b"}
}

// plan assigns addresses and builds the policy document.
func (layout Layout) plan() (*deploymentPlan, error) {
	ports := &portAllocator{}
	plan := &deploymentPlan{platform: ports.allocate()}
	plan.document = policy.Document{Version: 1, LogLevel: "info",
		Timing: policy.Timing{LookupTTLMs: 1000, DefaultDeadlineMs: 5000, MaxDeadlineMs: 30000}}
	for _, service := range layout.Services {
		plan.document.Services = append(plan.document.Services, policy.Service{
			Name: service.Name, PathPrefix: "/" + service.Name, Idempotent: service.Idempotent, MaxQueueMs: 4000})
	}
	block := 0
	for _, region := range layout.Regions {
		plan.document.Regions = append(plan.document.Regions, policy.Region{Name: region, Domains: domainNames(region)})
		for _, other := range layout.Regions {
			if other != region {
				plan.document.Links = append(plan.document.Links, policy.Link{From: region, To: other, CapMbit: layout.LinkCapMbit})
			}
		}
		for _, domain := range domainNames(region) {
			layout.planDomain(plan, ports, region, domain)
			plan.document.Sites = append(plan.document.Sites, policy.Site{Name: domain, Domain: domain, Regions: layout.regionPreference(region)})
			plan.document.Blocks = append(plan.document.Blocks, policy.Block{Prefix: fmt.Sprintf("10.%d.0.0/16", block), Site: domain})
			block++
		}
	}
	plan.document.Targets = plan.targets
	return plan, ports.err
}

// regionPreference returns all regions, beginning with the given one.
func (layout Layout) regionPreference(region string) []string {
	regions := []string{region}
	for _, other := range layout.Regions {
		if other != region {
			regions = append(regions, other)
		}
	}
	return regions
}

func (layout Layout) planDomain(plan *deploymentPlan, ports *portAllocator, region, domain string) {
	for i := range layout.InstancesPerDomain {
		plan.instances = append(plan.instances, instancePlan{settings: settings.Settings{
			Name: fmt.Sprintf("%s-%d", domain, i+1), Region: region, Domain: domain,
			CallerAddress: ports.allocate(), PeerAddress: ports.allocate(), OperatorAddress: ports.allocate(),
			Platform: plan.platform, OperatorKeys: []string{},
		}})
	}
	for _, service := range layout.Services {
		for i := range layout.TargetsPerDomain {
			plan.targets = append(plan.targets, policy.Target{
				Name: fmt.Sprintf("%s-%s-%d", service.Name, domain, i+1), Service: service.Name, Domain: domain,
				Address: ports.allocate(), Slots: service.Slots, Connections: 330,
			})
		}
	}
}

// writeFiles writes the settings of the instances, the list of instances and the
// policy document to dir.
func (plan *deploymentPlan) writeFiles(dir string) error {
	var instances []kv.Instance
	for i := range plan.instances {
		instance := &plan.instances[i]
		instance.settingsFile = filepath.Join(dir, instance.settings.Name+".json")
		if err := writeJSON(instance.settingsFile, instance.settings); err != nil {
			return err
		}
		config := instance.settings
		instances = append(instances, kv.Instance{Name: config.Name, Region: config.Region, Domain: config.Domain,
			PeerAddress: config.PeerAddress, CallerAddress: config.CallerAddress, State: kv.InstanceLive})
	}
	if err := writeJSON(filepath.Join(dir, "instances.json"), instances); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "policy.json"), plan.document)
}

func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o600)
}

// portAllocator allocates loopback addresses that were free when it checked them.
// Another process may still take such a port before a program listens on it.
type portAllocator struct {
	used map[string]bool
	err  error
}

// allocate returns an address that it has not returned before. If there is none, it
// returns an empty address and sets err.
func (ports *portAllocator) allocate() string {
	if ports.used == nil {
		ports.used = map[string]bool{}
	}
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			ports.err = err
			return ""
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !ports.used[address] {
			ports.used[address] = true
			return address
		}
	}
}
