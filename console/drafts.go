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

// draft is an operator's edit that is not published yet.
type draft struct {
	mu             sync.Mutex
	edit           ctl.Edit
	ended          bool               // Published or discarded while another request waited for the draft.
	pending        *pendingWrite      // A write of unknown outcome; the draft cannot change or be published.
	unresolvedRace *ctl.RaceError     // A lost race with conflicts that the operator has to resolve.
	lastLostRace   *ctl.LostRaceError // What the last lost race showed; for the review.
	final          *finalDocument     // The document to sign; nil until it is made.
}

// pendingWrite is a write of unknown outcome.
type pendingWrite struct {
	doc  []byte
	base uint64
}

// finalDocument is the encoded document of a draft or why it is not valid.
type finalDocument struct {
	doc    []byte
	digest [sha256.Size]byte // What the operator signs.
	err    error
}

// finalDocument returns the document to sign, made once for each state.
func (d *draft) finalDocument() (*finalDocument, error) {
	if d.final == nil {
		d.final = newFinalDocument(d.edit)
	}
	return d.final, d.final.err
}

func newFinalDocument(e ctl.Edit) *finalDocument {
	f := &finalDocument{}
	f.doc, f.err = ctl.Final(e.Mine, e.Base.Version)
	if f.err == nil {
		f.digest, f.err = configsync.Digest(f.doc)
	}
	return f
}

// digestText returns the digest in hexadecimal.
func (f *finalDocument) digestText() string { return hex.EncodeToString(f.digest[:]) }

// setDocument replaces the operator's document. Its version becomes that of the
// base, so that an exported file can be published with jacinthctl.
func (d *draft) setDocument(mine *policy.Document) {
	mine.Version = d.edit.Base.Version
	d.edit.Mine = mine
	d.final = nil
}

// draftStore are the drafts of all sessions.
type draftStore struct {
	mu        sync.Mutex
	now       func() time.Time
	bySession map[string]*draftEntry
}

type draftEntry struct {
	draft    *draft
	lastUsed time.Time
	blocks   int // Client blocks of its document, the part that takes memory.
}

func newDraftStore(now func() time.Time) *draftStore {
	return &draftStore{now: now, bySession: map[string]*draftEntry{}}
}

// get returns the draft of a session or nil.
func (s *draftStore) get(session string) *draft {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIdle()
	k := s.bySession[session]
	if k == nil {
		return nil
	}
	k.lastUsed = s.now()
	return k.draft
}

// put adds a draft. A full store rejects it instead of dropping the draft of
// another operator.
func (s *draftStore) put(session string, d *draft) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIdle()
	blocks := len(d.edit.Base.Blocks)
	if len(s.bySession) >= MaxDrafts || s.blocksOfOthers(session)+blocks > MaxDraftBlocks {
		return &pageError{status: 503, message: "too many edits are open at this instance; finish or discard one, or use another instance"}
	}
	s.bySession[session] = &draftEntry{draft: d, lastUsed: s.now(), blocks: blocks}
	return nil
}

// updateBlocks accepts a new number of blocks of a session's draft, or rejects it.
func (s *draftStore) updateBlocks(session string, blocks int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blocksOfOthers(session)+blocks > MaxDraftBlocks {
		return &pageError{status: 503, message: "the edits at this instance have too many client blocks together; finish or discard one, or use another instance"}
	}
	if k := s.bySession[session]; k != nil {
		k.blocks = max(k.blocks, blocks)
	}
	return nil
}

func (s *draftStore) blocksOfOthers(session string) int {
	total := 0
	for other, k := range s.bySession {
		if other != session {
			total += k.blocks
		}
	}
	return total
}

func (s *draftStore) remove(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.bySession, session)
}

func (s *draftStore) removeIdle() {
	for session, k := range s.bySession {
		if s.now().Sub(k.lastUsed) > DraftIdleTimeout {
			delete(s.bySession, session)
		}
	}
}
