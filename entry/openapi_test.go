package entry

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/outcome"
)

type openAPI struct {
	Paths map[string]struct {
		Get        openOperation
		Post       openOperation
		Parameters []openParameter
	}
	Components struct {
		Headers map[string]struct {
			Schema struct{ Enum []string }
		}
		Responses map[string]openResponse
		Schemas   map[string]struct {
			Required   []string
			Properties map[string]any
		}
	}
}

type openOperation struct {
	Parameters []openParameter
	Responses  map[string]openResponse
}

type openParameter struct{ Name, In string }

type openResponse struct {
	Headers map[string]any
	Content map[string]struct {
		Schema struct {
			Ref string `json:"$ref"`
		}
	}
}

func readOpenAPI(t *testing.T) *openAPI {
	t.Helper()
	src, err := os.ReadFile("../docs/openapi.json")
	require.NoError(t, err)
	page := &openAPI{}
	require.NoError(t, json.Unmarshal(src, page))
	return page
}

// requireFields checks that a body has the required fields of the schema of a
// response, and no others than its properties.
func (a *openAPI) requireFields(t *testing.T, r openResponse, body []byte) {
	t.Helper()
	var fields map[string]any
	require.NoError(t, json.Unmarshal(body, &fields), string(body))
	schema := a.Components.Schemas[filepath.Base(r.Content["application/json"].Schema.Ref)]
	require.NotEmpty(t, schema.Required)
	for _, name := range schema.Required {
		assert.Contains(t, fields, name)
	}
	for name := range fields {
		assert.Contains(t, schema.Properties, name)
	}
}

// Callers are written from the page: each response of a look-up must have the
// documented parameters, status, headers and body.
func TestOpenAPIOfLookups(t *testing.T) {
	page := readOpenAPI(t)
	operation := page.Paths[pathLookup].Get
	assert.Equal(t, []openParameter{{lookup.ParameterCaller, "query"}, {lookup.ParameterService, "query"},
		{lookup.ParameterWait, "query"}, {lookup.ParameterVersion, "query"}}, operation.Parameters)
	in := testInstance(t)
	listener, err := listenCallers(freeAddress(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	h := in.callerServer(listener)
	seen := map[string]bool{}
	get := func(query string) {
		r := ut.PerformRequest(h.Engine, "GET", pathLookup+query, nil).Result()
		documented, ok := operation.Responses[jsonNumber(r.StatusCode())]
		require.True(t, ok, r.StatusCode())
		seen[jsonNumber(r.StatusCode())] = true
		for name := range documented.Headers {
			assert.NotEmpty(t, r.Header.Get(name), name)
		}
		page.requireFields(t, documented, r.Body())
	}
	get("?caller=10.0.0.1")
	in.document.Store(lookupDocument())
	require.NoError(t, applyTestDocument(in.lookupService, lookupDocument()))
	in.refreshLookups()
	get("?caller=10.0.0.1&service=reads&version=1")
	get("?caller=nowhere")
	var current lookup.Decision
	_, err = in.lookupService.decide(lookup.Query{Caller: lookupCaller, Service: "reads"}, &current)
	require.NoError(t, err)
	for range lookup.MaxWaiting {
		require.NoError(t, in.lookupService.waiters.Acquire())
	}
	get("?caller=10.0.0.1&service=reads&wait=1000&version=" + jsonNumber(current.Version))
	assert.ElementsMatch(t, slices.Collect(maps.Keys(operation.Responses)), slices.Collect(maps.Keys(seen)))
}

func jsonNumber(n any) string {
	text, _ := json.Marshal(n)
	return string(text)
}

var statusInCode = regexp.MustCompile(`(?:Status: |o\.Status, o\.Reason = |o\.Status = )(\d{3})\b`)

// Every status with which an instance refuses a request must be documented,
// and no other.
func TestOpenAPIListsEveryStatus(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	inCode := map[string]bool{"default": true}
	for _, file := range append(files, "../once/result.go") {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		src, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, found := range statusInCode.FindAllStringSubmatch(string(src), -1) {
			inCode[found[1]] = true
		}
	}
	documented := readOpenAPI(t).Paths["/{path}"].Post.Responses
	assert.ElementsMatch(t, slices.Collect(maps.Keys(inCode)), slices.Collect(maps.Keys(documented)))
}

// Responses to requests must carry the documented headers and reasons, and
// refusals the documented body.
func TestOpenAPIOfRequests(t *testing.T) {
	page := readOpenAPI(t)
	assert.Equal(t, []openParameter{{"path", "path"}, {outcome.HeaderIdempotencyKey, "header"}, {outcome.HeaderDeadline, "header"}}, page.Paths["/{path}"].Parameters)
	var documented []string
	for name := range page.Components.Headers {
		documented = append(documented, name)
	}
	assert.ElementsMatch(t, documented, []string{outcome.HeaderExecuted, outcome.HeaderReason, outcome.HeaderInstance, outcome.HeaderTarget, outcome.HeaderIdempotencyKeyPrefix})
	target := startScriptedTarget(t, func(_ *http.Request, body []byte, c net.Conn) bool {
		return write(c, httpResponse("201 Created", "", string(body)))
	})
	in := startInstance(t, "i", target)
	for _, c := range []struct {
		path, key string
		status    int
		response  string
		headers   []string
	}{
		{"/writes/x", "", 201, "default", []string{outcome.HeaderTarget}},
		{"/none", "", 404, "404", nil},
		{"/writes/x", "not-a-key", 409, "409", []string{outcome.HeaderIdempotencyKeyPrefix}},
		{"/writes/x", "gone.1.1.x", 409, "409", nil},
	} {
		request, err := http.NewRequest(http.MethodPost, "http://"+in.settings.CallerAddress+c.path, strings.NewReader("x"))
		require.NoError(t, err)
		if c.key != "" {
			request.Header.Set(outcome.HeaderIdempotencyKey, c.key)
		}
		answer, err := (&http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}).Do(request)
		require.NoError(t, err)
		assert.Equal(t, c.status, answer.StatusCode, c.path)
		for _, name := range append(c.headers, outcome.HeaderExecuted, outcome.HeaderReason, outcome.HeaderInstance) {
			assert.NotEmpty(t, answer.Header.Get(name), "%s %s", c.path, name)
		}
		for _, name := range []string{outcome.HeaderExecuted, outcome.HeaderReason} {
			assert.Contains(t, page.Components.Headers[name].Schema.Enum, answer.Header.Get(name))
		}
		response := page.Components.Responses["Request"+c.response]
		require.NotEmpty(t, response.Headers)
		if c.response != "default" {
			var body json.RawMessage
			require.NoError(t, json.NewDecoder(answer.Body).Decode(&body))
			page.requireFields(t, response, body)
		}
		_ = answer.Body.Close()
	}
}

// The documented fields of a look-up answer must be those of its type.
func TestOpenAPIOfLookupTypes(t *testing.T) {
	page := readOpenAPI(t)
	for name, of := range map[string]reflect.Type{"LookupAnswer": reflect.TypeFor[LookupResponse](),
		"LookupInstance": reflect.TypeFor[LookupInstance](), "LookupRefusal": reflect.TypeFor[LookupRefusal]()} {
		var want []string
		for i := range of.NumField() {
			field, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ",")
			want = append(want, field)
		}
		assert.ElementsMatch(t, want, slices.Collect(maps.Keys(page.Components.Schemas[name].Properties)), name)
	}
}
