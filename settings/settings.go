// Package settings reads the start-up settings of an entry instance from a
// JSON file. What an operator may change on a running system is not here but
// in the policy document.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/jacinthstall/jacinthstall/finding"
)

// Settings are the start-up settings of one entry instance. Addresses are
// "ip:port".
type Settings struct {
	Name            string   `json:"name"`
	Region          string   `json:"region"`
	Domain          string   `json:"domain"`
	CallerAddress   string   `json:"callerAddress"`
	PeerAddress     string   `json:"peerAddress"`
	OperatorAddress string   `json:"operatorAddress"`
	Platform        string   `json:"platform"`
	OperatorKeys    []string `json:"operatorKeys"` // Ed25519 public keys, base64.
}

// Load reads and checks a settings file. The error is a *finding.Error when
// the content is wrong.
func Load(file string) (Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, src)
}

// Parse checks the content of a settings file.
func Parse(file string, src []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	var list finding.List
	if err := dec.Decode(&s); err != nil {
		list.Add(finding.Finding{Position: finding.Position{File: file}, Message: err.Error()})
		return Settings{}, list.Err()
	}
	s.check(file, &list)
	return s, list.Err()
}

func (s Settings) check(file string, list *finding.List) {
	add := func(pointer, message string) {
		list.Add(finding.Finding{Position: finding.Position{File: file}, Pointer: pointer, Message: message})
	}
	for _, f := range []struct{ pointer, value string }{
		{"/name", s.Name}, {"/region", s.Region}, {"/domain", s.Domain},
	} {
		if f.value == "" {
			add(f.pointer, "must not be empty")
		}
	}
	for _, f := range []struct{ pointer, value string }{
		{"/callerAddress", s.CallerAddress},
		{"/peerAddress", s.PeerAddress},
		{"/operatorAddress", s.OperatorAddress},
		{"/platform", s.Platform},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			add(f.pointer, fmt.Sprintf("%q is not an ip:port address", f.value))
		}
	}
}
