package policy

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstall/jacinthstall/finding"
)

// MaxDocumentBytes is the maximum size of an encoded document. A document at the
// design scale of 570,000 blocks has about 40 MB when indented.
const MaxDocumentBytes = 96 << 20

// Parse decodes and validates a document. name is the file name in the findings.
// The error is a *finding.Error with all problems.
func Parse(name string, src []byte) (*Document, error) {
	return parse(name, src, check)
}

// Decode decodes a document and checks only its structure, not its values. It is
// used for published documents: one that was valid under the rules of another
// software version can still be compared and replaced. The error is a
// *finding.Error.
func Decode(name string, src []byte) (*Document, error) {
	return parse(name, src, func(*Document, *finding.List) {})
}

func parse(name string, src []byte, check func(*Document, *finding.List)) (*Document, error) {
	var findings finding.List
	if len(src) > MaxDocumentBytes {
		findings.Add(finding.Finding{Position: finding.Position{File: name, Line: 1, Column: 1},
			Message: fmt.Sprintf("document has %d bytes, more than %d", len(src), MaxDocumentBytes)})
		return nil, findings.Err()
	}
	document := &Document{}
	if finding.Decode(name, src, document, &findings) {
		check(document, &findings)
	}
	if len(findings.Findings) > 0 {
		findings.ResolvePositions(name, src)
		return nil, findings.Err()
	}
	return document, nil
}

// Encode returns the document as indented JSON with a trailing newline. Equal
// documents have equal encodings.
func (document *Document) Encode() ([]byte, error) {
	src, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return append(src, '\n'), nil
}
