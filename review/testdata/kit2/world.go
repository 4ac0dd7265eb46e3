// Command kit2 runs the cases of the second review that cannot be played as a day:
// it starts entry instances as separate processes and plays the platform's store, the
// targets and the callers on loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/standin/metastore"
)

const (
	heartbeat = 1500 * time.Millisecond
	// silence is the time without a heartbeat after which the entry of a target is
	// removed.
	silence = 3 * heartbeat
	// drain and stability are the bounds of the settings.
	drain     = 2500 * time.Millisecond
	stability = 3 * time.Second
	// reads and writes are the rates of the store.
	readsPerS, writesPerS = 2000, 400

	frontPort, readyPort, directoryPort = "8001", "8002", "8003"
	firstInternalPort, lastInternalPort = 8010, 8025
	targetPort, storePort               = "8200", "8500"
	hostName                            = "jepu9.example"
)

// regions maps the failure domains to their regions.
var regions = map[string]string{"pa-zisa": "palermo", "pa-brancaccio": "palermo", "ct-ognina": "catania",
	"ct-librino": "catania", "ag-villaseta": "agrigento", "ag-fontanelle": "agrigento"}

var zones = []string{"pa-zisa", "pa-brancaccio", "ct-ognina", "ct-librino", "ag-villaseta", "ag-fontanelle"}

// world is a deployment with its stand-ins.
type world struct {
	record *recorder
	dir    string
	store  *metastore.Store
	addr   string // Of the store.
	nodes  []*node

	mu      sync.Mutex
	down    bool                 // The store is away.
	beats   map[string]time.Time // Last write of each target's entry.
	targets []*target
}

type node struct {
	name, zone, host string
	cmd              *exec.Cmd
	log              *os.File
}

func newWorld(record *recorder, dir string) (*world, error) {
	hlog.SetLevel(hlog.LevelFatal)
	w := &world{record: record, dir: dir, store: metastore.New(), beats: map[string]time.Time{}}
	w.store.SetRateLimits(readsPerS, writesPerS)
	w.store.SetEra(1)
	w.addr = net.JoinHostPort(loopback.Host(), storePort)
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return nil, err
	}
	server := metastore.NewServer(w.store, listener)
	go func() { _ = server.Run() }()
	go w.removeSilent()
	return w, nil
}

// removeSilent removes the entries of targets that are silent for three heartbeats.
// After the store was away, the targets get the whole time again.
func (w *world) removeSilent() {
	for {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		for key, at := range w.beats {
			if !w.down && time.Since(at) > silence {
				w.store.Delete(key)
				delete(w.beats, key)
				w.record.write("entry lapses: %s", key)
			}
		}
		w.mu.Unlock()
	}
}

// put writes the entry of a target. It fails while the store is away.
func (w *world) put(key string, value []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return false
	}
	w.store.Put(key, value)
	w.beats[key] = time.Now()
	return true
}

func (w *world) remove(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Delete(key)
	delete(w.beats, key)
}

// restore takes the store away for a time and brings it back from a copy.
func (w *world) restore(copied time.Time, away time.Duration, config []byte) {
	w.mu.Lock()
	w.down = true
	w.mu.Unlock()
	w.record.write("store away")
	w.store.SetFaults(metastore.Faults{Down: true})
	time.Sleep(away)
	w.mu.Lock()
	w.store.RestoreCopy(copied)
	w.beats = map[string]time.Time{}
	for _, key := range w.store.Keys("servers/") {
		w.beats[key] = time.Now()
	}
	w.down = false
	w.mu.Unlock()
	w.store.SetFaults(metastore.Faults{})
	w.store.Put("op/config", config) // The operator writes it again.
	w.record.write("store back in era %d, from a copy that is %d ms old; entries %v", w.store.Era(), time.Since(copied).Milliseconds(), w.store.Keys("servers/"))
	w.mu.Lock()
	for _, t := range w.targets {
		go t.beat() // The targets write again what they wrote.
	}
	w.mu.Unlock()
}

func (w *world) startNodes() error {
	var seeds []string
	for _, zone := range zones {
		n := &node{name: "front-" + zone + "-1", zone: zone, host: loopback.Host()}
		w.nodes = append(w.nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, net.JoinHostPort(n.host, "8004"))
		}
	}
	for _, n := range w.nodes {
		if err := w.startNode(n, seeds); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are ready after 20 s", ready, len(w.nodes))
		}
	}
}

func (w *world) startNode(n *node, seeds []string) error {
	dir := filepath.Join(w.dir, n.name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	settings := map[string]any{
		"node": n.name, "role": "entry", "class": "front", "serves": []string{"front", "control", "directory"}, "bindIp": n.host,
		"zone": n.zone, "region": regions[n.zone], "zones": regions,
		"listen": map[string]string{"front": n.front(), "ready": net.JoinHostPort(n.host, readyPort),
			"control": net.JoinHostPort(n.host, "8004"), "directory": net.JoinHostPort(n.host, directoryPort)},
		"internalPorts": []int{firstInternalPort, lastInternalPort}, "seedNodes": seeds, "bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.32, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeat": "1500ms",
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1},
		"bounds": map[string]any{"seedLag": "3s", "reuseAfter": "2s", "stability": "3000ms", "ack": "4000ms", "catchUp": "4s", "drain": "2500ms",
			"grace": "6s", "lossSlack": "200ms", "config": "2500ms", "rollbackSlack": "250ms", "maxStretch": "5000ms", "retryRatio": 0.2,
			"retryWindow": "10s", "retrySlack": 56, "coldOver": 1.5, "coldSlack": 5, "evac": "5000ms", "recover": "15s", "ttl_max": "5s", "shiftMost": 0.15},
		"platform": map[string]any{"address": w.addr, "form": "kv", "writesPerS": writesPerS, "readsPerS": readsPerS, "history": "20s", "valueBytes": 1 << 20, "ttlMin": "1000ms"},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "local.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return err
	}
	n.cmd = exec.Command("target/jacinth-node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACINTHSTALL_NODE_FILE=" + file}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

func (n *node) front() string { return net.JoinHostPort(n.host, frontPort) }

func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + net.JoinHostPort(n.host, readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes.
func (w *world) stop() {
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
}

// route is a route of the configuration.
type route struct {
	name, kind string
	attempts   int
	sticky     bool
	services   []string // With equal weights.
}

// config returns a configuration.
func config(version int, routes ...route) []byte {
	routesByName, services := map[string]any{}, map[string]any{}
	for _, r := range routes {
		record := map[string]any{"host": hostName, "prefix": "/" + r.name + "/", "routeKind": r.kind, "timeout": "2500ms", "goal": "400ms",
			"priority": 1, "attempts": r.attempts, "sticky": r.sticky, "homeRegions": []string{}}
		var split []any
		for _, s := range r.services {
			services[s] = map[string]any{"healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 7.1}
			split = append(split, map[string]any{"service": s, "weight": 1})
		}
		if len(r.services) == 1 {
			record["service"] = r.services[0]
		} else {
			record["split"] = split
		}
		routesByName["r-"+r.name] = record
	}
	content, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "routes": routesByName, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}})
	if err != nil {
		panic(err) // Unreachable: all values can be encoded.
	}
	return content
}

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, started: time.Now()}, err
}

func (r *recorder) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}

func sleepOr(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
