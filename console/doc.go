// Package console serves the operators' console: HTML forms whose output is
// one validated document.
//
// An operator starts an edit (a draft of the published document), changes it
// with forms or imports a whole document, reviews the difference, signs the
// digest of the final document with "jacinthctl sign", and publishes it by
// compare-and-swap. Private keys never reach the instance. A lost race shows
// the other operator's changes and keeps the draft. A write of unknown outcome
// is settled by reading back and never repeated on its own.
//
// Drafts are kept in the memory of the instance and end with it, so a draft can
// be exported and imported elsewhere. At most MaxDrafts exist at a time,
// with at most MaxDraftBlocks client blocks together; an unused draft ends
// after DraftIdle. Forms have at most MaxFormBytes, imports MaxImportBytes.
//
// The server must be made with ServerOptions: it then reads at most
// MaxFormBytes of a body before the request is checked. An import is read after
// its token was checked, one at a time. Compressed bodies are refused. Without
// operator keys the console is read-only and keeps no drafts.
package console
