// Package schema holds the published JSON Schemas (draft 2020-12) of the
// policy document and of the settings of an instance. They describe form and
// ranges; references between objects are checked by package policy.
package schema
