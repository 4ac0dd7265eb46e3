// Package finding collects the errors in a JSON input and reports them together.
// Each finding has a file, line, column, JSON pointer (RFC 6901) and, if there is
// an obvious one, a fix.
//
// Decode decodes a source into Go values in one pass and reports unknown, missing
// and duplicate fields, wrong types and syntax errors. Checks of the decoded values
// add findings by JSON pointer, and List.ResolvePositions determines their
// positions in another pass over the source.
//
// Lines and columns start at 1; columns count bytes. A list keeps at most
// MaxFindings findings and counts the others.
package finding
