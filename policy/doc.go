// Package policy defines the policy document, the configuration that operators
// publish: which regions and targets may serve which callers, with which
// bandwidth caps, and which instances are leaving.
//
// Parse validates a document and reports all problems with their positions as a
// *finding.Error. Diff returns the changes between two documents, by object.
// Merge combines two edits of the same base document if they change different
// objects.
//
// Durations are in milliseconds and caps in megabits per second. The size of an
// encoded document is limited to MaxDocumentBytes; the max tags of the types
// limit the number of objects.
package policy
