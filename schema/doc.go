// Package schema contains the published JSON Schemas (draft 2020-12) of the policy
// document and of the settings of an instance. They define structure and ranges;
// package policy also checks references between objects.
package schema
