// Package overhead measures what an entry instance adds to the response time of
// a request. The target, the platform stand-in and the instance run in this
// process and are reached over loopback.
package overhead

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/entry"
	"github.com/jacinthstall/jacinthstall/internal/figures"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

const (
	serviceTime = 5 * time.Millisecond
	// measuredRequests is the number of measured requests on each way.
	measuredRequests = 400
	// warmUpRequests is the number of requests on each way before the measured ones.
	warmUpRequests = 50
	// maxRatio is the performance target of the design.
	maxRatio      = 1.2
	readyTimeout  = 10 * time.Second
	readyPoll     = 20 * time.Millisecond
	clientTimeout = 10 * time.Second
	requestPath   = "/reads/x"
)

// StatusError is an answer that is no success.
type StatusError struct {
	URL    string
	Status int
}

// Error states the URL and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("overhead: %s answered with status %d", e.URL, e.Status)
}

// Figures measures the ratio of the median response times through an entry
// instance and direct. A failed measurement has a value that misses the bound.
func Figures() []figures.Figure {
	value, err := measure(warmUpRequests, measuredRequests)
	name := "overhead of an entry instance: p50 through it to direct"
	if err != nil {
		value, name = math.MaxFloat64, name+": "+err.Error()
	}
	return []figures.Figure{{Name: name, Value: value, Unit: "ratio", Bound: maxRatio, WallClock: true,
		Command: "go run ./cmd/jacinth-bench -only overhead"}}
}

// measure returns the ratio of the medians. before is the number of requests
// that are not measured, count of those that are, on each way.
func measure(before, count int) (float64, error) {
	hlog.SetLevel(hlog.LevelFatal)
	listener, err := targetd.Listen("127.0.0.1:0", 0)
	if err != nil {
		return 0, err
	}
	target := listener.Addr().String()
	_, h := targetd.NewServer(targetd.Options{Name: "reads-1", Slots: 8, ServiceTime: serviceTime}, listener)
	go func() { _ = h.Run() }()
	defer func() { _ = h.Close() }()
	s, stop, err := startInstance(target)
	if err != nil {
		return 0, err
	}
	defer stop()
	return medianRatio(before, count, "http://"+target+requestPath, "http://"+s.CallerAddress+requestPath)
}

// medianRatio alternates between both ways, so that changes of the machine's load
// affect both alike.
func medianRatio(before, count int, direct, through string) (float64, error) {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ways := []string{direct, through}
	histograms := []*hdrhistogram.Histogram{newHistogram(), newHistogram()}
	for n := range before + count {
		for i, url := range ways {
			took, err := timeRequest(client, url)
			if err != nil {
				return 0, err
			}
			if n >= before {
				_ = histograms[i].RecordValue(took.Microseconds())
			}
		}
	}
	return float64(histograms[1].ValueAtQuantile(50)) / float64(histograms[0].ValueAtQuantile(50)), nil
}

// newHistogram counts microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, clientTimeout.Microseconds(), 3)
}

func timeRequest(client *http.Client, url string) (time.Duration, error) {
	start := time.Now()
	answer, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	var body any
	err = json.NewDecoder(answer.Body).Decode(&body)
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return 0, &StatusError{URL: url, Status: answer.StatusCode}
	}
	return time.Since(start), err
}

// startInstance runs an entry instance with one target, and the platform
// stand-in. stop ends both.
func startInstance(target string) (s settings.Settings, stop func(), err error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return s, nil, err
	}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return s, nil, err
		}
	}
	s = settings.Settings{Name: "a-1", Region: "r", Domain: "a", CallerAddress: addresses[0], PeerAddress: addresses[1],
		OperatorAddress: addresses[2], Platform: addresses[3],
		OperatorKeys: []string{base64.StdEncoding.EncodeToString(public)}}
	store := platformd.NewStore([]kv.Instance{{Name: s.Name, Region: s.Region, Domain: s.Domain,
		PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, State: kv.InstanceLive}})
	if err := publishDocument(store, private, target); err != nil {
		return s, nil, err
	}
	h := server.New(server.WithHostPorts(s.Platform), server.WithTransport(standard.NewTransporter), server.WithDisablePrintRoute(true))
	platformd.Register(h, store)
	go func() { _ = h.Run() }()
	in, err := entry.New(s, &log.Logger{Handler: discard.New(), Level: log.InfoLevel})
	if err != nil {
		_ = h.Close()
		return s, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- in.Run(ctx) }()
	stop = func() {
		cancel()
		<-ended
		_ = h.Close()
	}
	if err := waitReady("http://" + s.OperatorAddress + "/ready"); err != nil {
		stop()
		return s, nil, err
	}
	return s, stop, nil
}

func publishDocument(store *platformd.Store, key ed25519.PrivateKey, target string) error {
	document, err := json.Marshal(policy.Document{Version: 1, LogLevel: "info",
		Timing:   policy.Timing{LookupTTLMs: 100, DefaultDeadlineMs: 5000, MaxDeadlineMs: 30000},
		Regions:  []policy.Region{{Name: "r", Domains: []string{"a"}}},
		Links:    []policy.Link{},
		Sites:    []policy.Site{{Name: "a", Domain: "a", Regions: []string{"r"}}},
		Services: []policy.Service{{Name: "reads", PathPrefix: "/reads", Idempotent: true, MaxQueueMs: 2000}},
		Targets:  []policy.Target{{Name: "reads-1", Service: "reads", Domain: "a", Address: target, Slots: 8, Connections: 100}},
		Blocks:   []policy.Block{{Prefix: "10.0.0.0/8", Site: "a"}}})
	if err != nil {
		return err
	}
	p := configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(key), Keys: []ed25519.PublicKey{configsync.PublicKey(key)}}
	_, err = p.Publish(context.Background(), document, 0)
	return err
}

func waitReady(url string) (err error) {
	client := &http.Client{Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		var answer *http.Response
		if answer, err = client.Get(url); err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
		err = &StatusError{URL: url, Status: answer.StatusCode}
	}
	return err
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
