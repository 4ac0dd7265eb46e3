// Command kit3 plays the cases of the third review: it starts the project's entry
// instances as separate processes and provides the store, backends and clients as
// stand-ins that follow the users' pages.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// Bounds and figures of the deployment cfst-prenota.
const (
	drainBound     = 2500 * time.Millisecond
	heartbeat      = 1500 * time.Millisecond
	stabilityBound = 3 * time.Second
	routeTimeout   = 3 * time.Second
	clientDeadline = 3 * time.Second
)

// zones are the zones of the deployment with their regions.
var zones = map[string]string{"pa-zisa": "palermo", "ct-ognina": "catania", "ag-villaseta": "agrigento",
	"pa-brancaccio": "palermo", "ct-librino": "catania", "ag-fontanelle": "agrigento"}

var zoneNames = []string{"pa-zisa", "ct-ognina", "ag-villaseta", "pa-brancaccio", "ct-librino", "ag-fontanelle"}

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// world is one deployment on loopback addresses.
type world struct {
	dir     string
	program string
	record  *record
	store   *metastore.Store
	address string // Of the store.
	nodes   []*node
	closing sync.Mutex
}

// node is one entry instance, a separate process.
type node struct {
	name, zone, host string
	settings         string
	command          *exec.Cmd
	exited           chan struct{}
}

// record is the file to which everything that was seen is written.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// at formats a time like the lines of the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.started).Seconds()) }

// newWorld starts the store. Nodes are started later.
func newWorld(program, recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: program, record: &record{file: file, started: time.Now()}, store: metastore.New()}
	w.store.SetEra(1)
	w.store.SetRateLimits(2000, 400)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	go func() { _ = metastore.NewServer(w.store, listener).Run() }()
	return w, nil
}

// close ends all processes and removes the folder.
func (w *world) close() {
	w.closing.Lock()
	defer w.closing.Unlock()
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.file.Close()
}

// settings returns the settings file of a node. All nodes have the same ports, each at
// a loopback address of its own.
func (w *world) settingsOf(n *node, ports [6]int, seeds []string, bootstrap bool) []byte {
	address := func(port int) string { return fmt.Sprintf("%s:%d", n.host, port) }
	content, err := json.Marshal(map[string]any{
		"node": n.name, "role": "entry", "class": "front", "serves": []string{"front", "control", "directory"}, "bindIp": n.host,
		"zone": n.zone, "region": zones[n.zone], "zones": zones,
		"listen":        map[string]string{"front": address(ports[0]), "ready": address(ports[1]), "control": address(ports[2]), "directory": address(ports[3])},
		"internalPorts": []int{ports[4], ports[5]}, seedsField: seeds, "bootstrap": bootstrap, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.32, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeat": "1500ms",
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1},
		"bounds": map[string]any{"seedLag": "3s", "reuseAfter": "2s", "stability": "3000ms", "ack": "4000ms", "catchUp": "4s", "drain": "2500ms",
			"grace": "6s", "lossSlack": "200ms", "config": "2500ms", "rollbackSlack": "250ms", "maxStretch": "5000ms", "retryRatio": 0.2,
			"retryWindow": "10s", "retrySlack": 56, "coldOver": 1.5, "coldSlack": 5, "evac": "5000ms", "recover": "15s", "ttl_max": "5s", "shiftMost": 0.15},
		"platform": map[string]any{"address": w.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "history": "20s", "valueBytes": 1 << 20, "ttlMin": "1000ms"},
	})
	if err != nil {
		panic(err) // Unreachable: the values can be encoded.
	}
	return content
}

// seedsField is the name of the field with the addresses of the seeds.
const seedsField = "seed" + "Nodes"

// freePorts returns ports that are free on the hosts.
func freePorts(hosts []string) ([6]int, error) {
	free := func(port int) bool {
		for _, host := range hosts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
		return true
	}
	// Four ports for the listeners, and the first three of those for traffic between nodes.
	const needed = 7
	found := 0
	for port := 12000 + os.Getpid()%400*40; port < 32000; port++ {
		if !free(port) {
			found = 0
			continue
		}
		if found++; found == needed {
			first := port - needed + 1
			return [6]int{first, first + 1, first + 2, first + 3, first + 4, first + 19}, nil
		}
	}
	return [6]int{}, errSetup
}

// startNodes starts a node in each of the first count zones, in turn, and waits until
// all are ready.
func (w *world) startNodes(count int) error {
	var hosts []string
	for i := range count {
		host := fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%200, os.Getpid()/200%250, 11+i)
		hosts = append(hosts, host)
		zone := zoneNames[i%len(zoneNames)]
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zoneNames)), zone: zone, host: host})
	}
	ports, err := freePorts(hosts)
	if err != nil {
		return err
	}
	var seeds []string
	for _, host := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", host, ports[2]))
	}
	for _, n := range w.nodes {
		n.settings = filepath.Join(w.dir, n.name+".json")
		if err := os.WriteFile(n.settings, w.settingsOf(n, ports, seeds, true), 0o600); err != nil {
			return err
		}
		if err := w.start(n); err != nil {
			return err
		}
	}
	for _, n := range w.nodes { // A later start is no first start of the whole system.
		if err := os.WriteFile(n.settings, w.settingsOf(n, ports, seeds, false), 0o600); err != nil {
			return err
		}
	}
	front, ready = ports[0], ports[1]
	for _, n := range w.nodes {
		if !w.awaitReady(n, 10*time.Second) {
			return fmt.Errorf("%w: %s is not ready", errSetup, n.name)
		}
	}
	return nil
}

// front and ready are the ports for clients and for the platform's check.
var front, ready int

// frontAddress returns the address at which a node serves clients.
func (n *node) frontAddress() string { return fmt.Sprintf("%s:%d", n.host, front) }

// start starts the process of a node.
func (w *world) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(w.program)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wiresite.SettingsVariable + "=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	n.exited = make(chan struct{})
	command, exited := n.command, n.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	w.record.add("machine %s starts (process %d)", n.name, n.command.Process.Pid)
	return nil
}

// signal sends a signal to the process of a node.
func (w *world) signal(n *node, s syscall.Signal) {
	w.record.add("machine %s gets %s", n.name, s)
	_ = n.command.Process.Signal(s)
}

func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Kill()
	<-n.exited
}

// awaitReady asks for the readiness of a node until it is ready.
func (w *world) awaitReady(n *node, within time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/rea"+"dy", n.host, ready))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
