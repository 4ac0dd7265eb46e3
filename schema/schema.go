// Package schema holds the published JSON Schemas (draft 2020-12) of the
// policy document and of the settings of an instance. They describe form and
// ranges; references between objects are checked by package policy.
package schema

import _ "embed"

// Policy is the schema of the policy document.
//
//go:embed policy.schema.json
var Policy []byte

// Settings is the schema of the settings of an instance.
//
//go:embed settings.schema.json
var Settings []byte
