package settings

import (
	"fmt"
	"io"
	"os"

	"github.com/jacinthstall/jacinthstall/finding"
)

// MaxFileBytes is the largest settings file.
const MaxFileBytes = 1 << 20

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
	OperatorKeys    []string `json:"operatorKeys" max:"64"` // Ed25519 public keys, base64.
}

// Load reads and checks a settings file. The error is a *finding.Error when
// the content is wrong.
func Load(file string) (Settings, error) {
	f, err := os.Open(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	defer f.Close()
	src, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, src)
}

// Parse checks the content of a settings file; file is its name in findings.
// The error is a *finding.Error with every problem.
func Parse(file string, src []byte) (Settings, error) {
	var s Settings
	var list finding.List
	if len(src) > MaxFileBytes {
		list.Add(finding.Finding{Position: finding.Position{File: file, Line: 1, Column: 1},
			Message: fmt.Sprintf("settings have more than %d bytes", MaxFileBytes)})
		return Settings{}, list.Err()
	}
	if finding.Decode(file, src, &s, &list) {
		s.check(&list)
	}
	list.ResolvePositions(file, src)
	if err := list.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
