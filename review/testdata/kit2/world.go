// Command kit2 runs the cases of the second review that cannot be played as a day:
// it starts entry instances as separate processes and plays the platform's store, the
// targets and the callers on loopback addresses.
package main

import (
	"context"
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
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

const (
	heartbeat = 1500 * time.Millisecond
	// silence is the time without a heartbeat after which the entry of a target is
	// removed.
	silence = 3 * heartbeat
	// drain and stability are the bounds of the settings.
	drain     = 2500 * time.Millisecond
	stability = 3 * time.Second
	// Rates of the store.
	readsPerS, writesPerS = 2000, 400

	controlPort, directoryPort = "8004", "8003" // The others are those of wiresite.
	targetPort, storePort      = "8200", "8500"
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

	mu    sync.Mutex
	down  bool                 // The store is away.
	beats map[string]time.Time // Last write of each target's entry.
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

// removeIfPresent removes an entry. It reports whether there was one; while the store is
// away, nothing can be removed.
func (w *world) removeIfPresent(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, present := w.beats[key]; w.down || !present {
		return false
	}
	w.store.Delete(key)
	delete(w.beats, key)
	return true
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
	w.store.Put(wiresite.ConfigKey, config) // The operator writes it again.
	w.record.write("store back in era %d, from a copy that is %d ms old; entries %v", w.store.Era(), time.Since(copied).Milliseconds(), w.store.Keys("servers/"))
	// The targets write with their next heartbeat.
}

func (w *world) startNodes() error {
	var seeds []string
	for _, zone := range zones {
		n := &node{name: "front-" + zone + "-1", zone: zone, host: loopback.Host()}
		w.nodes = append(w.nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, net.JoinHostPort(n.host, controlPort))
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
	content := render("settings", map[string]any{"Name": n.name, "Host": n.host, "Zone": n.zone, "Region": regions[n.zone],
		"Zones": encode(regions), "Seeds": encode(seeds), "Store": w.addr})
	file := filepath.Join(dir, "local.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	n.log = log
	n.cmd = exec.Command("target/jacinth-node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wiresite.SettingsVariable + "=" + file}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(wiresite.ReadyURL(n.host))
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
