package schema_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/schema"
	"github.com/jacinthstall/jacinthstall/settings"
)

func compileSchema(t *testing.T, src []byte) *jsonschema.Schema {
	t.Helper()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(src))
	require.NoError(t, err)
	c := jsonschema.NewCompiler()
	require.NoError(t, c.AddResource("schema.json", value))
	compiled, err := c.Compile("schema.json")
	require.NoError(t, err)
	return compiled
}

func validate(t *testing.T, s *jsonschema.Schema, src []byte) error {
	t.Helper()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(src))
	require.NoError(t, err)
	return s.Validate(value)
}

// A published schema that rejects the demo would be of no use to an editor.
func TestDemoConforms(t *testing.T) {
	files, err := filepath.Glob("../demo/settings/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	forSettings, forPolicy := compileSchema(t, schema.Settings), compileSchema(t, schema.Policy)
	for _, file := range files {
		src, err := os.ReadFile(file)
		require.NoError(t, err)
		assert.NoError(t, validate(t, forSettings, src), file)
	}
	src, err := os.ReadFile("../demo/policy.json")
	require.NoError(t, err)
	assert.NoError(t, validate(t, forPolicy, src))
}

// Guards against a schema that accepts everything.
func TestSchemaRejects(t *testing.T) {
	src, err := os.ReadFile("../demo/policy.json")
	require.NoError(t, err)
	s := compileSchema(t, schema.Policy)
	for _, c := range []struct{ old, new string }{
		{`"slots": 5`, `"slots": 0`},
		{`"logLevel": "info"`, `"logLevel": "loud"`},
		{`"slots": 5`, `"slot": 5`},
		{`"pathPrefix": "/catalogue"`, `"pathPrefix": "catalogue"`},
		{`"site": "palermo-a"`, `"site": ""`},
	} {
		wrong := bytes.Replace(src, []byte(c.old), []byte(c.new), 1)
		require.NotEqual(t, src, wrong)
		assert.Error(t, validate(t, s, wrong), c.new)
		_, err := policy.Parse("p.json", wrong)
		assert.Error(t, err, c.new)
	}
}

// Schema and Go types must not drift apart: same fields, types and bounds.
func TestFieldsMatch(t *testing.T) {
	compareType(t, "", compileSchema(t, schema.Policy), reflect.TypeFor[policy.Document]())
	compareType(t, "", compileSchema(t, schema.Settings), reflect.TypeFor[settings.Settings]())
}

func compareType(t *testing.T, path string, s *jsonschema.Schema, typ reflect.Type) {
	t.Helper()
	switch typ.Kind() {
	case reflect.Struct:
		compareStruct(t, path, s, typ)
	case reflect.Slice:
		assert.Contains(t, s.Types.ToStrings(), "array", path)
		compareType(t, path+"[]", s.Items2020, typ.Elem())
	case reflect.Bool:
		assert.Equal(t, []string{"boolean"}, s.Types.ToStrings(), path)
	case reflect.Int, reflect.Uint64:
		assert.Equal(t, []string{"integer"}, s.Types.ToStrings(), path)
	case reflect.String:
		assert.True(t, s.Enum != nil || assert.ObjectsAreEqual([]string{"string"}, s.Types.ToStrings()), path)
	default:
		t.Errorf("%s: no rule for %s", path, typ)
	}
}

func compareStruct(t *testing.T, path string, s *jsonschema.Schema, typ reflect.Type) {
	t.Helper()
	var inGo, required, inSchema []string
	for _, f := range finding.Fields(typ) {
		inGo = append(inGo, f.Name)
		if f.Required {
			required = append(required, f.Name)
		}
		property := s.Properties[f.Name]
		if !assert.NotNil(t, property, "%s/%s is not in the schema", path, f.Name) {
			continue
		}
		if typ.Field(f.Index).Type.Kind() == reflect.Slice && assert.NotNil(t, property.MaxItems, "%s/%s", path, f.Name) {
			assert.Equal(t, f.MaxItems, *property.MaxItems, "%s/%s", path, f.Name)
		}
		compareType(t, path+"/"+f.Name, property, typ.Field(f.Index).Type)
	}
	for name := range s.Properties {
		inSchema = append(inSchema, name)
	}
	sort.Strings(inSchema)
	sort.Strings(inGo)
	assert.Equal(t, inGo, inSchema, "fields of %s", path)
	assert.ElementsMatch(t, required, s.Required, "required fields of %s", path)
	assert.Equal(t, false, s.AdditionalProperties, "%s", path)
}
