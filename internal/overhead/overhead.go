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
func (err *StatusError) Error() string {
	return fmt.Sprintf("overhead: %s answered with status %d", err.URL, err.Status)
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
func measure(warmUp, measured int) (float64, error) {
	hlog.SetLevel(hlog.LevelFatal)
	listener, err := targetd.Listen("127.0.0.1:0", 0)
	if err != nil {
		return 0, err
	}
	target := listener.Addr().String()
	_, server := targetd.NewServer(targetd.Options{Name: "reads-1", Slots: 8, Service: serviceTime}, listener)
	go func() { _ = server.Run() }()
	defer func() { _ = server.Close() }()
	instanceSettings, stop, err := startInstance(target)
	if err != nil {
		return 0, err
	}
	defer stop()
	return medianRatio(warmUp, measured, "http://"+target+requestPath, "http://"+instanceSettings.CallerAddress+requestPath)
}

// medianRatio alternates between both ways, so that changes of the machine's load
// affect both alike.
func medianRatio(warmUp, measured int, directURL, instanceURL string) (float64, error) {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	urls := []string{directURL, instanceURL}
	histograms := []*hdrhistogram.Histogram{newHistogram(), newHistogram()}
	for n := range warmUp + measured {
		for i, url := range urls {
			elapsed, err := timeRequest(client, url)
			if err != nil {
				return 0, err
			}
			if n >= warmUp {
				_ = histograms[i].RecordValue(elapsed.Microseconds())
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
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	var body any
	err = json.NewDecoder(response.Body).Decode(&body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, &StatusError{URL: url, Status: response.StatusCode}
	}
	return time.Since(start), err
}

// startInstance runs an entry instance with one target, and the platform
// stand-in. stop ends both.
func startInstance(targetAddress string) (instanceSettings settings.Settings, stop func(), err error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return instanceSettings, nil, err
	}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return instanceSettings, nil, err
		}
	}
	instanceSettings = settings.Settings{Name: "a-1", Region: "r", Domain: "a", CallerAddress: addresses[0], PeerAddress: addresses[1],
		OperatorAddress: addresses[2], Platform: addresses[3],
		OperatorKeys: []string{base64.StdEncoding.EncodeToString(public)}}
	store := platformd.NewStore([]kv.Instance{{Name: instanceSettings.Name, Region: instanceSettings.Region, Domain: instanceSettings.Domain,
		PeerAddress: instanceSettings.PeerAddress, CallerAddress: instanceSettings.CallerAddress, State: kv.InstanceLive}})
	if err := publishDocument(store, private, targetAddress); err != nil {
		return instanceSettings, nil, err
	}
	platformServer := server.New(server.WithHostPorts(instanceSettings.Platform), server.WithTransport(standard.NewTransporter), server.WithDisablePrintRoute(true))
	platformd.Register(platformServer, store)
	go func() { _ = platformServer.Run() }()
	instance, err := entry.New(instanceSettings, &log.Logger{Handler: discard.New(), Level: log.InfoLevel})
	if err != nil {
		_ = platformServer.Close()
		return instanceSettings, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	exited := make(chan error, 1)
	go func() { exited <- instance.Run(ctx) }()
	stop = func() {
		cancel()
		<-exited
		_ = platformServer.Close()
	}
	if err := waitReady("http://" + instanceSettings.OperatorAddress + "/ready"); err != nil {
		stop()
		return instanceSettings, nil, err
	}
	return instanceSettings, stop, nil
}

func publishDocument(store *platformd.Store, key ed25519.PrivateKey, targetAddress string) error {
	document, err := json.Marshal(policy.Document{Version: 1, LogLevel: "info",
		Timing:   policy.Timing{LookupTTLMs: 100, DefaultDeadlineMs: 5000, MaxDeadlineMs: 30000},
		Regions:  []policy.Region{{Name: "r", Domains: []string{"a"}}},
		Links:    []policy.Link{},
		Sites:    []policy.Site{{Name: "a", Domain: "a", Regions: []string{"r"}}},
		Services: []policy.Service{{Name: "reads", PathPrefix: "/reads", Idempotent: true, MaxQueueMs: 2000}},
		Targets:  []policy.Target{{Name: "reads-1", Service: "reads", Domain: "a", Address: targetAddress, Slots: 8, Connections: 100}},
		Blocks:   []policy.Block{{Prefix: "10.0.0.0/8", Site: "a"}}})
	if err != nil {
		return err
	}
	publisher := configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(key), Keys: []ed25519.PublicKey{configsync.PublicKey(key)}}
	_, err = publisher.Publish(context.Background(), document, 0)
	return err
}

func waitReady(url string) (err error) {
	client := &http.Client{Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPoll) {
		var response *http.Response
		if response, err = client.Get(url); err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		err = &StatusError{URL: url, Status: response.StatusCode}
	}
	return err
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
