// Package finding collects the problems of a JSON input and reports them
// together. Each finding names its file, line, column, JSON pointer (RFC 6901)
// and, where it is clear, the fix.
//
// Decode reads a source into Go values in one pass and reports unknown,
// missing and duplicate fields, wrong types and syntax errors. Checks of the
// values add further findings by pointer, and List.Place finds their places
// with one more pass over the source.
//
// Lines and columns count from 1, columns in bytes. A list keeps at most
// MaxFindings findings and counts the rest.
package finding
