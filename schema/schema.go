package schema

import _ "embed"

// Policy is the JSON Schema of the policy document.
//
//go:embed policy.schema.json
var Policy []byte

// Settings is the JSON Schema of the settings of an instance.
//
//go:embed settings.schema.json
var Settings []byte
