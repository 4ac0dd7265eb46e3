package console

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
)

// draft is an operator's edit that has not been published.
type draft struct {
	mu             sync.Mutex
	edit           ctl.Edit
	ended          bool               // Published or discarded, perhaps while another request waited for mu.
	pending        *pendingWrite      // A write of unknown outcome; until it is resolved, the draft cannot be edited or published.
	unresolvedRace *ctl.RaceError     // A lost race with conflicts that the operator must resolve.
	lastLostRace   *ctl.LostRaceError // The last lost race, shown on the review page.
	final          *finalDocument     // Cached document to sign; nil after a change.
}

// pendingWrite is a write of unknown outcome.
type pendingWrite struct {
	doc  []byte
	base uint64 // Version that the write was to replace.
}

// finalDocument is the encoded document of a draft, or the error that makes it
// invalid.
type finalDocument struct {
	doc    []byte
	digest [sha256.Size]byte // Signed by the operator.
	err    error
}

// finalDocument returns the document to sign. It is encoded once per change of
// the draft.
func (draft *draft) finalDocument() (*finalDocument, error) {
	if draft.final == nil {
		draft.final = newFinalDocument(draft.edit)
	}
	return draft.final, draft.final.err
}

func newFinalDocument(edit ctl.Edit) *finalDocument {
	result := &finalDocument{}
	result.doc, result.err = ctl.Final(edit.Mine, edit.Base.Version)
	if result.err == nil {
		result.digest, result.err = configsync.Digest(result.doc)
	}
	return result
}

// digestText returns the digest as hexadecimal digits.
func (final *finalDocument) digestText() string { return hex.EncodeToString(final.digest[:]) }

// setDocument replaces the edited document. Its version is set to that of the
// base document, so that jacinthctl can publish an exported file.
func (draft *draft) setDocument(mine *policy.Document) {
	mine.Version = draft.edit.Base.Version
	draft.edit.Mine = mine
	draft.final = nil
}

// draftStore holds the drafts of all sessions.
type draftStore struct {
	mu        sync.Mutex
	now       func() time.Time
	bySession map[string]*draftEntry
}

type draftEntry struct {
	draft    *draft
	lastUsed time.Time
	blocks   int // Number of client blocks, which use most of a draft's memory.
}

func newDraftStore(now func() time.Time) *draftStore {
	return &draftStore{now: now, bySession: map[string]*draftEntry{}}
}

// get returns the draft of a session, or nil if there is none.
func (store *draftStore) get(session string) *draft {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.removeIdle()
	entry := store.bySession[session]
	if entry == nil {
		return nil
	}
	entry.lastUsed = store.now()
	return entry.draft
}

// put adds a draft. If the store is full it returns an error; it never removes
// the draft of another operator.
func (store *draftStore) put(session string, d *draft) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.removeIdle()
	blocks := len(d.edit.Base.Blocks)
	if len(store.bySession) >= MaxDrafts || store.blocksOfOthers(session)+blocks > MaxDraftBlocks {
		return &pageError{status: 503, message: "too many edits are open at this instance; finish or discard one, or use another instance"}
	}
	store.bySession[session] = &draftEntry{draft: d, lastUsed: store.now(), blocks: blocks}
	return nil
}

// updateBlocks raises the number of blocks recorded for a session's draft, or
// returns an error if the drafts together would exceed MaxDraftBlocks.
func (store *draftStore) updateBlocks(session string, blocks int) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.blocksOfOthers(session)+blocks > MaxDraftBlocks {
		return &pageError{status: 503, message: "the edits at this instance have too many client blocks together; finish or discard one, or use another instance"}
	}
	if entry := store.bySession[session]; entry != nil {
		entry.blocks = max(entry.blocks, blocks)
	}
	return nil
}

func (store *draftStore) blocksOfOthers(session string) int {
	total := 0
	for other, entry := range store.bySession {
		if other != session {
			total += entry.blocks
		}
	}
	return total
}

func (store *draftStore) remove(session string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	delete(store.bySession, session)
}

func (store *draftStore) removeIdle() {
	for session, entry := range store.bySession {
		if store.now().Sub(entry.lastUsed) > DraftIdleTimeout {
			delete(store.bySession, session)
		}
	}
}
