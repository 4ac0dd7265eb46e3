// Package overhead measures by how much an entry instance increases the response
// time of a request. The target, the platform stand-in and the instance run in the
// measuring process and communicate over loopback.
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
	serviceTime = 5 * time.Millisecond // Of the target.
	// measuredRequests is the number of measured requests for each URL.
	measuredRequests = 400
	// warmUpRequests is the number of requests for each URL before the measured ones.
	warmUpRequests = 50
	// maxRatio is the highest ratio of the response time through an instance to
	// that of a direct request that the design permits.
	maxRatio      = 1.2
	readyTimeout  = 10 * time.Second
	readyPoll     = 20 * time.Millisecond
	clientTimeout = 10 * time.Second
	requestPath   = "/reads/x"
)

// StatusError means that a request returned a status other than 200.
type StatusError struct {
	URL    string
	Status int
}

func (err *StatusError) Error() string {
	return fmt.Sprintf("overhead: %s returned status %d", err.URL, err.Status)
}

// Figures measures the ratio of the median response time through an entry instance
// to that of direct requests to the target. If the measurement fails, the value of
// the figure exceeds the bound.
func Figures() []figures.Figure {
	value, err := measure(warmUpRequests, measuredRequests)
	name := "overhead of an entry instance: p50 through it to direct"
	if err != nil {
		value, name = math.MaxFloat64, name+": "+err.Error()
	}
	return []figures.Figure{{Name: name, Value: value, Unit: "ratio", Bound: maxRatio, WallClock: true,
		Command: "go run ./cmd/jacinth-bench -only overhead"}}
}

// measure starts a target and an entry instance and returns the ratio of the median
// response times. For each URL it sends warmUp requests that are not measured, then
// measured requests that are.
func measure(warmUp, measured int) (float64, error) {
	hlog.SetLevel(hlog.LevelFatal)
	listener, err := targetd.Listen("127.0.0.1:0", 0)
	if err != nil {
		return 0, err
	}
	target := listener.Addr().String()
	_, server := targetd.NewServer(targetd.Options{Name: "reads-1", Slots: 8, ServiceTime: serviceTime}, listener)
	go func() { _ = server.Run() }()
	defer func() { _ = server.Close() }()
	instanceSettings, stop, err := startInstance(target)
	if err != nil {
		return 0, err
	}
	defer stop()
	return medianRatio(warmUp, measured, "http://"+target+requestPath, "http://"+instanceSettings.CallerAddress+requestPath)
}

// medianRatio returns the ratio of the median response time of instanceURL to that
// of directURL. It alternates between the URLs, so that changes in the load of the
// machine affect both equally.
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

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, clientTimeout.Microseconds(), 3)
}

// timeRequest returns the time until the response has been read and decoded.
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

// startInstance starts a platform stand-in and an entry instance with one target,
// and waits until the instance is ready. The stop function ends both.
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
	platformServer := server.New(server.WithHostPorts(instanceSettings.Platform), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true))
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

// publishDocument publishes a signed policy document with one service and one target.
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
	publisher := configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(key),
		Keys: []ed25519.PublicKey{configsync.PublicKey(key)}}
	_, err = publisher.Publish(context.Background(), document, 0)
	return err
}

// waitReady polls a URL until it returns status 200, for at most readyTimeout.
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

// freeAddress returns a loopback address whose port is free at the moment.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
