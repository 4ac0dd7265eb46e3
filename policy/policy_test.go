package policy_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/policy"
)

// A path prefix must match whole path segments: /catalogue must not match
// /catalogues.
func TestServiceForMatchesWholePathSegments(t *testing.T) {
	document := &policy.Document{Services: []policy.Service{
		{Name: "root", PathPrefix: "/"},
		{Name: "catalogue", PathPrefix: "/catalogue"},
		{Name: "archive", PathPrefix: "/catalogue/archive"},
	}}
	for path, want := range map[string]string{
		"/catalogue":           "catalogue",
		"/catalogue/1":         "catalogue",
		"/catalogues":          "root",
		"/catalogue/archive/2": "archive",
	} {
		service, ok := document.ServiceFor(path)
		assert.True(t, ok, path)
		assert.Equal(t, want, service.Name, path)
	}
}
