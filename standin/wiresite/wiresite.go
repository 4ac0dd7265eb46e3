// Package wiresite encodes what the platform, its operators, targets and callers
// send to an instance: settings files, store records and requests. It is used by
// the soak and tests.
package wiresite

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
)

// SettingsVariable is the name of the environment variable that contains the path
// of the settings file.
const SettingsVariable = "JACINTHSTALL_NODE_FILE"

// Host is the host name of all routes.
const Host = "shop.example"

// Ports on which an instance listens.
const (
	callerPort        = "8001"
	readyPort         = "8002"
	directoryPort     = "8003"
	firstInternalPort = 8010
	lastInternalPort  = 8020
)

// CallerAddress returns the address at which an instance on a host serves callers.
func CallerAddress(host string) string { return net.JoinHostPort(host, callerPort) }

// ReadyURL returns the URL of the readiness check of an instance on a host.
func ReadyURL(host string) string { return "http://" + net.JoinHostPort(host, readyPort) + "/-/ready" }

// Settings returns the content of the settings file of an instance. domains maps
// failure domains to regions. store is the ip:port address of the metadata store.
func Settings(name, domain, host string, domains map[string]string, store string) []byte {
	return encode(map[string]any{
		"node": name, "bindIp": host, "zone": domain, "region": domains[domain], "zones": domains,
		"listen": map[string]string{"front": CallerAddress(host), "ready": net.JoinHostPort(host, readyPort),
			"directory": net.JoinHostPort(host, directoryPort)},
		"internalPorts": []int{firstInternalPort, lastInternalPort}, "heartbeat": "1500ms", "limits": map[string]int{"memoryMb": 128},
		"bounds": map[string]any{"stability": "3000ms", "drain": "2500ms", "grace": "6s", "ttl_max": "5s",
			"retryRatio": 0.2, "retryWindow": "10s", "retrySlack": 56, "shiftMost": 0.15},
		"platform": map[string]string{"address": store},
	})
}

// Route is a route of a configuration. Its first path segment is also its name.
type Route struct {
	Segment    string
	Service    string // "" means that of the configuration.
	Idempotent bool
	Public     bool // Requests need no key.
	Timeout    time.Duration
}

// ConfigKey is the store key of the configuration.
const ConfigKey = "op/config"

// DefaultIdleTimeout is the idle time-out of callers' connections that Config sets.
const DefaultIdleTimeout = 15 * time.Second

// Config returns a configuration record with a service, to which routes lead that
// name no other.
func Config(version int64, service string, routes ...Route) []byte {
	return ConfigWithIdleTimeout(version, service, DefaultIdleTimeout, routes...)
}

// ConfigWithIdleTimeout returns a configuration record that also sets the idle
// time-out of callers' connections.
func ConfigWithIdleTimeout(version int64, service string, idleTimeout time.Duration, routes ...Route) []byte {
	routesByName, services := map[string]any{}, map[string]any{}
	addService := func(name string) {
		services[name] = map[string]any{"maxConns": 200, "coldStart": "1s", "coldPerS": 50}
	}
	addService(service)
	for _, route := range routes {
		routeKind := "unsafe"
		if route.Idempotent {
			routeKind = "safe"
		}
		routeService := service
		if route.Service != "" {
			routeService = route.Service
			addService(routeService)
		}
		routesByName[route.Segment] = map[string]any{"host": Host, "prefix": "/" + route.Segment + "/", "routeKind": routeKind,
			"timeout": route.Timeout.String(), "goal": "400ms", "service": routeService, "attempts": 2, "sticky": true, "public": route.Public}
	}
	return encode(map[string]any{"version": fmt.Sprintf("r%d", version), "routes": routesByName,
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3s", "idleTimeout": idleTimeout.String()}})
}

// Account is a client account of a configuration record.
type Account struct {
	Name        string
	Keys        []string
	Priority    int
	RatePerS    float64 // 0 means no limit.
	Burst       float64
	HomeRegions []string
}

// WithAccounts returns a configuration record with accounts added.
func WithAccounts(config []byte, accounts ...Account) []byte {
	var record map[string]any
	if err := json.Unmarshal(config, &record); err != nil {
		panic(err) // Unreachable: the functions above return objects.
	}
	tenants := map[string]any{}
	for _, account := range accounts {
		fields := map[string]any{"apiKeys": account.Keys, "priority": account.Priority, "ratePerS": account.RatePerS, "burst": account.Burst}
		if len(account.HomeRegions) > 0 {
			fields["homeRegions"] = account.HomeRegions
		}
		tenants[account.Name] = fields
	}
	record["tenants"] = tenants
	return encode(record)
}

// TargetKey returns the store key of a target's record.
func TargetKey(id string) string { return "servers/" + id }

// EvacuationKey returns the store key of the record that evacuates a failure
// domain while it exists.
func EvacuationKey(domain string) string { return "op/evacuate/" + domain }

// TargetRecord returns the store record of a target. state is "ready" or
// "draining".
func TargetRecord(service, domain, address, state string, slots int) []byte {
	return encode(map[string]any{"address": address, "born": 1,
		"details": map[string]any{"service": service, "zone": domain, "concurrency": slots, "version": "v1"},
		"status":  map[string]any{"state": state, "sequence": 1, "coldLeft": "0ms"}})
}

// Request returns an HTTP/1.1 request in the form in which callers send it, with
// additional header lines.
func Request(method, path, id, object, body string, deadline time.Duration, headers ...string) string {
	return RequestHead(method, path, id, object, deadline, append(headers, fmt.Sprint("Content-Length: ", len(body)))...) + body
}

// RequestHead returns the head of an HTTP/1.1 request with further header lines.
func RequestHead(method, path, id, object string, deadline time.Duration, headers ...string) string {
	lines := []string{method + " " + path + " HTTP/1.1", "Host: " + Host, platform.HeaderRequestID + ": " + id,
		fmt.Sprintf("%s: %d", platform.HeaderDeadline, deadline.Milliseconds()),
		"Cookie: X-Jacinthstall-Affinity-Key=" + object}
	return strings.Join(append(lines, headers...), "\r\n") + "\r\n\r\n"
}

func encode(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err) // Unreachable: all values in this package can be encoded.
	}
	return encoded
}
