package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// told is what the store has told a machine of a key.
type told struct {
	machine, key string
	value        []byte
	deleted      bool
	at           time.Time
}

// storeLog holds what the store has told the machines.
type storeLog struct {
	mu      sync.Mutex
	entries []told
}

// about returns what a machine was told of a key.
func (l *storeLog) about(machine, key string) []told {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []told
	for _, entry := range l.entries {
		if entry.machine == machine && entry.key == key {
			found = append(found, entry)
		}
	}
	return found
}

func (l *storeLog) add(machine string, body []byte) {
	var answer struct {
		Items, Events []struct {
			Key     string
			Value   []byte
			Deleted bool
		}
	}
	if json.Unmarshal(body, &answer) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range append(answer.Items, answer.Events...) {
		l.entries = append(l.entries, told{machine: machine, key: item.Key, value: item.Value, deleted: item.Deleted, at: time.Now()})
	}
}

// storeFor returns an address at which one machine reaches the store, so that it is
// known what the store has told that machine.
func (w *world) storeFor(machine string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: w.address})
	proxy.ModifyResponse = func(resp *http.Response) error {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		resp.Body = io.NopCloser(bytes.NewReader(body))
		w.told.add(machine, body)
		return nil
	}
	go func() { _ = http.Serve(listener, proxy) }()
	return listener.Addr().String(), nil
}
