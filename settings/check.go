package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"strings"

	"github.com/jacinthstall/jacinthstall/finding"
)

// MaxNameBytes is the length of the longest name.
const MaxNameBytes = 128

type checker struct{ findings *finding.List }

func (c checker) addFinding(pointer, fix, format string, args ...any) {
	if !c.findings.IsReported(pointer) {
		c.findings.Add(finding.Finding{Pointer: pointer, Message: fmt.Sprintf(format, args...), Fix: fix})
	}
}

func (s Settings) check(list *finding.List) {
	c := checker{list}
	c.checkName("/name", s.Name, "-_")
	c.checkName("/region", s.Region, "-_.")
	c.checkName("/domain", s.Domain, "-_.")
	c.checkAddresses(s)
	c.checkOperatorKeys(s.OperatorKeys)
}

// checkName checks the syntax of a name. The name of an instance has no dot,
// because a dot ends it in the prefix of an idempotency key.
func (c checker) checkName(pointer, name, marks string) {
	if name == "" {
		c.addFinding(pointer, "", "must not be empty")
		return
	}
	wrong := strings.IndexFunc(name, func(r rune) bool { return !isAlphanumeric(r) && !strings.ContainsRune(marks, r) })
	if wrong >= 0 || len(name) > MaxNameBytes || strings.ContainsRune(marks, rune(name[0])) {
		c.addFinding(pointer, "", "%q is not a name: it must have at most %d letters, digits or characters of %q and begin with a letter or digit", name, MaxNameBytes, marks)
	}
}

func isAlphanumeric(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
}

func (c checker) checkAddresses(s Settings) {
	listeners := map[netip.AddrPort]string{}
	for _, f := range []struct{ pointer, value string }{
		{"/callerAddress", s.CallerAddress},
		{"/peerAddress", s.PeerAddress},
		{"/operatorAddress", s.OperatorAddress},
	} {
		address, ok := c.checkAddress(f.pointer, f.value)
		if !ok || address.Port() == 0 {
			continue
		}
		if other, taken := listeners[address]; taken {
			c.addFinding(f.pointer, "use another port", "%s is also the address of %s", address, other)
			continue
		}
		listeners[address] = f.pointer
	}
	if address, ok := c.checkAddress("/platform", s.Platform); ok && address.Port() == 0 {
		c.addFinding("/platform", "name its port", "the port is 0")
	}
}

func (c checker) checkAddress(pointer, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.addFinding(pointer, addressFix(value), "%q is not an ip:port address", value)
		return address, false
	}
	return address, true
}

func addressFix(value string) string {
	if _, err := netip.ParseAddr(value); err == nil {
		return "add the port"
	}
	if port, ok := strings.CutPrefix(value, "localhost:"); ok {
		return fmt.Sprintf("use %q", "127.0.0.1:"+port)
	}
	return ""
}

func (c checker) checkOperatorKeys(keys []string) {
	seen := map[string]int{}
	for i, key := range keys {
		pointer := finding.Pointer("operatorKeys", i)
		raw, err := base64.StdEncoding.DecodeString(key)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			c.addFinding(pointer, "", "not an Ed25519 public key: want %d bytes in base64", ed25519.PublicKeySize)
			continue
		}
		if first, ok := seen[key]; ok {
			c.addFinding(pointer, "remove it", "key is already at /operatorKeys/%d", first)
			continue
		}
		seen[key] = i
	}
}
