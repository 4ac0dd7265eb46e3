package peerpb_test

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

var (
	blockPattern = regexp.MustCompile(`(?ms)^(message|enum) (\w+) \{(.*?)\n?\}$`)
	fieldPattern = regexp.MustCompile(`(?m)^\s+(?:repeated )?(?:[\w.]+ )?(\w+) = (\d+);`)
	callPattern  = regexp.MustCompile(`(?m)^  rpc (\w+)\(`)
)

// Guards against generated code that does not match peer.proto. CI has no
// generator, so the test compares names and numbers.
func TestGeneratedCodeMatchesDefinition(t *testing.T) {
	src, err := os.ReadFile("peer.proto")
	require.NoError(t, err)
	var defined []string
	for _, block := range blockPattern.FindAllStringSubmatch(string(src), -1) {
		defined = append(defined, block[2])
		for _, field := range fieldPattern.FindAllStringSubmatch(block[3], -1) {
			defined = append(defined, fmt.Sprintf("%s.%s=%s", block[2], field[1], field[2]))
		}
	}
	for _, call := range callPattern.FindAllStringSubmatch(string(src), -1) {
		defined = append(defined, "rpc "+call[1])
	}
	assert.Greater(t, len(defined), 100, "peer.proto was not parsed")
	generated := generatedNames(peerpb.File_peer_proto)
	sort.Strings(defined)
	sort.Strings(generated)
	assert.Equal(t, defined, generated, "run peer/peerpb/generate.sh")
}

func generatedNames(file protoreflect.FileDescriptor) []string {
	var names []string
	for i := range file.Messages().Len() {
		m := file.Messages().Get(i)
		names = append(names, string(m.Name()))
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			names = append(names, fmt.Sprintf("%s.%s=%d", m.Name(), f.Name(), f.Number()))
		}
	}
	for i := range file.Enums().Len() {
		e := file.Enums().Get(i)
		names = append(names, string(e.Name()))
		for j := range e.Values().Len() {
			v := e.Values().Get(j)
			names = append(names, fmt.Sprintf("%s.%s=%d", e.Name(), v.Name(), v.Number()))
		}
	}
	calls := file.Services().Get(0).Methods()
	for i := range calls.Len() {
		names = append(names, "rpc "+string(calls.Get(i).Name()))
	}
	return names
}
