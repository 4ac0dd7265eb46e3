// Package console serves the operators' web console, in which operators edit
// the policy document with HTML forms, validate it and publish it.
//
// An operator starts a draft of the published document, edits it with forms or
// imports a whole document, reviews the changes, signs the digest of the final
// document with "jacinthctl sign", and publishes it by compare-and-swap. Private
// keys never reach the instance. If another operator has published in the
// meantime, the console shows that operator's changes and keeps the draft. A
// write of unknown outcome is resolved by reading back; it is never repeated
// without the operator's decision.
//
// Drafts are held in the memory of the instance and are lost when it stops. To
// keep a draft, an operator can export it and import it at another instance. The
// number of drafts is limited to MaxDrafts, the number of client blocks in all
// drafts to MaxDraftBlocks. A draft that is not used for DraftIdleTimeout is
// removed. Forms are limited to MaxFormBytes, imports to MaxImportBytes.
//
// The HTTP server must be created with ServerOptions, so that it reads at most
// MaxFormBytes of a body before the request is checked. Imports are read one at
// a time, after the token has been checked. Compressed bodies are rejected.
// Without operator keys the console is read-only and keeps no drafts.
package console
