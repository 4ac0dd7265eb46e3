// Command casekit runs the scripts of the review: it starts instances of the
// deploy file as processes, and plays the store, the operator, the backends and the
// clients on loopback addresses.
package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

//go:embed settings.json.tmpl
var settingsTemplate string

//go:embed config.json.tmpl
var configTemplate string

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a case that hangs.
const maxRun = 117 * time.Second

// env is a small deployment.
type env struct {
	trouble bool
	dir     string // Temporary folder of the settings files and logs.
	host    int    // Number of the next loopback address.
	start   time.Time
	store   *metastore.Store
	zones   map[string]string
	nodes   []*node
	storeAt string

	mu     sync.Mutex
	record *os.File
}

// fail ends the case as one that could not run.
func (e *env) fail(format string, args ...any) {
	e.note("not run: "+format, args...)
	e.close()
	os.Exit(exitNotRun)
}

func newEnv(caseDir string, zones map[string]string) *env {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	e := &env{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), store: metastore.New(), zones: zones, record: record}
	if e.dir, err = os.MkdirTemp("", "review-case-"); err != nil {
		e.fail("temporary folder: %v", err)
	}
	listener := e.listen(e.newHost() + ":0")
	e.storeAt = listener.Addr().String()
	server := metastore.NewServer(e.store, listener)
	go func() { _ = server.Run() }()
	e.store.SetRateLimits(2000, 400)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxRun):
		}
		e.fail("ended from outside, or after %s", maxRun)
	}()
	e.note("store at %s, disruption %v", e.storeAt, e.trouble)
	return e
}

// newHost returns a further loopback address, on which all ports are free.
func (e *env) newHost() string {
	for range 200 {
		e.host++
		pid := os.Getpid()
		host := fmt.Sprintf("127.%d.%d.%d", 100+pid/200%100, 1+pid%200, e.host%250+1)
		if l, err := net.Listen("tcp", host+":8548"); err == nil {
			_ = l.Close()
			return host
		}
	}
	e.fail("no free loopback address")
	return ""
}

func (e *env) listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		e.fail("listen: %v", err)
	}
	return l
}

// note writes a line to the record.
func (e *env) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (e *env) close() {
	for _, n := range e.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range e.nodes {
		n.wait(2 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	}
}

// finish ends the case with its result.
func (e *env) finish(broken bool, summary string) {
	e.note("result: %s", summary)
	fmt.Println(summary)
	e.close()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// route is a route of the configuration.
type route struct {
	Name, Prefix, Kind, Service, Timeout, Goal string
	Attempts                                   int
	Sticky                                     bool
}

// configure writes a configuration as the operator.
func (e *env) configure(version int, services []string, routes ...route) {
	var text strings.Builder
	err := template.Must(template.New("config").Parse(configTemplate)).Execute(&text,
		map[string]any{"Version": version, "Services": services, "Routes": routes, "Host": wiresite.Host})
	if err != nil || !json.Valid([]byte(text.String())) {
		e.fail("configuration: %v", err)
	}
	e.store.Put(wiresite.ConfigKey, []byte(text.String()))
	e.note("operator: configuration r%d acknowledged", version)
}

// node is one instance.
type node struct {
	env        *env
	name, zone string
	host       string
	settings   string
	cmd        *exec.Cmd
	ended      chan struct{}
	starts     int
}

func (n *node) front() string { return n.host + ":8548" }

// addNodes starts one instance for each of the given zones.
func (e *env) addNodes(zones ...string) {
	first := len(e.nodes)
	for i, zone := range zones {
		e.nodes = append(e.nodes, &node{env: e, name: fmt.Sprintf("front-%s-%d", zone, first+i+1), zone: zone, host: e.newHost()})
	}
	for _, n := range e.nodes[first:] {
		n.writeSettings(true)
		n.run()
	}
}

func (n *node) writeSettings(bootstrap bool) {
	e := n.env
	zones, err := json.Marshal(e.zones)
	if err != nil {
		e.fail("settings: %v", err)
	}
	var seeds []string
	for _, other := range e.nodes[:min(3, len(e.nodes))] {
		seeds = append(seeds, `"`+other.host+`:8544"`)
	}
	var text strings.Builder
	err = template.Must(template.New("settings").Parse(settingsTemplate)).Execute(&text, map[string]any{"Name": n.name, "Host": n.host,
		"Zone": n.zone, "Region": e.zones[n.zone], "Zones": string(zones), "Seeds": strings.Join(seeds, ", "), "Bootstrap": bootstrap, "Store": e.storeAt})
	if err != nil || !json.Valid([]byte(text.String())) {
		e.fail("settings: %v", err)
	}
	n.settings = filepath.Join(e.dir, n.name+".json")
	if err := os.WriteFile(n.settings, []byte(text.String()), 0o600); err != nil {
		e.fail("settings: %v", err)
	}
}

// run starts the process with the command of the deploy file.
func (n *node) run() {
	n.starts++
	out, err := os.Create(filepath.Join(n.env.dir, fmt.Sprintf("%s-%d.log", n.name, n.starts)))
	if err != nil {
		n.env.fail("log: %v", err)
	}
	n.cmd = exec.Command("target/jacinth-node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wiresite.SettingsVariable + "=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		n.env.fail("start of an instance: %v", err)
	}
	ended, cmd := make(chan struct{}), n.cmd
	n.ended = ended
	n.env.note("%s started (process %d)", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		n.env.note("%s ended: %v", n.name, err)
		close(ended)
	}()
}

func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) wait(limit time.Duration) bool {
	if n.ended == nil {
		return true
	}
	select {
	case <-n.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// awaitServing waits until every instance serves a path.
func (e *env) awaitServing(path string) {
	for _, n := range e.nodes {
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if a := e.send(n.front(), "GET", path, nil, 3*time.Second); a.status == 200 {
				break
			}
			if time.Now().After(end) {
				e.fail("%s does not serve", n.name)
			}
		}
	}
	e.note("all instances serve")
}

// putBackend writes the record of a backend. Heartbeats that change nothing but the
// sequence do not change the entry, so they are left out.
func (e *env) putBackend(b *backend) {
	record := wiresite.TargetRecord(b.service, b.zone, b.address, "ready", b.slots)
	born := fmt.Sprintf(`"born":%d,`, b.born.Load())
	e.store.Put(wiresite.TargetKey(b.id), bytes.Replace(record, []byte(`"born":1,`), []byte(born), 1))
}

var headerID = platform.HeaderRequestID

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
