package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/policy"
)

var deadlineDocument = &policy.Document{Timing: policy.Timing{DefaultDeadlineMs: 1000, MaxDeadlineMs: 5000}}

func TestRequestDeadline(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": time.Second, "250": 250 * time.Millisecond, "5000": 5 * time.Second, "5001": 5 * time.Second,
		"0": time.Second, "-1": time.Second, "1e3": time.Second, "9223372036854775807": 5 * time.Second,
		"9223372036854775808": time.Second,
	} {
		assert.Equal(t, want, requestDeadline(deadlineDocument, header), "%q", header)
	}
}

func FuzzRequestDeadline(f *testing.F) {
	for _, seed := range []string{"", "1", "5000", "-9223372036854775808", "9223372036854775807", "0x10", " 7"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, header string) {
		if d := requestDeadline(deadlineDocument, header); d <= 0 || d > deadlineDocument.Timing.MaxDeadline() {
			t.Fatalf("%q gives %v", header, d)
		}
	})
}
