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
	mu      sync.Mutex
	edit    ctl.Edit
	ended   bool               // Published or discarded while another request waited for the draft.
	pending *pending           // A write of unknown outcome; the draft cannot change or be published.
	race    *ctl.RaceError     // A lost race with conflicts that the operator has to resolve.
	lost    *ctl.LostRaceError // What the last lost race showed; for the review.
	final   *final             // The document to sign; nil until it is made.
}

// pending is a write of unknown outcome.
type pending struct {
	doc  []byte
	base uint64
}

// final is the encoded document of a draft or why it is not valid.
type final struct {
	doc    []byte
	digest [sha256.Size]byte // What the operator signs.
	err    error
}

// finalDocument returns the document to sign, made once for each state.
func (d *draft) finalDocument() (*final, error) {
	if d.final == nil {
		d.final = newFinal(d.edit)
	}
	return d.final, d.final.err
}

func newFinal(e ctl.Edit) *final {
	f := &final{}
	f.doc, f.err = ctl.Final(e.Mine, e.Base.Version)
	if f.err == nil {
		f.digest, f.err = configsync.Digest(f.doc)
	}
	return f
}

// digestText returns the digest in hexadecimal.
func (f *final) digestText() string { return hex.EncodeToString(f.digest[:]) }

// change replaces the operator's document. Its version becomes that of the
// base, so that an exported file can be published with jacinthctl.
func (d *draft) change(mine *policy.Document) {
	mine.Version = d.edit.Base.Version
	d.edit.Mine = mine
	d.final = nil
}

// drafts are the drafts of all sessions.
type drafts struct {
	mu        sync.Mutex
	now       func() time.Time
	bySession map[string]*kept
}

type kept struct {
	draft  *draft
	used   time.Time
	blocks int // Client blocks of its document, the part that takes memory.
}

func newDrafts(now func() time.Time) *drafts {
	return &drafts{now: now, bySession: map[string]*kept{}}
}

// get returns the draft of a session or nil.
func (s *drafts) get(session string) *draft {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	k := s.bySession[session]
	if k == nil {
		return nil
	}
	k.used = s.now()
	return k.draft
}

// put adds a draft. A full store rejects it instead of dropping the draft of
// another operator.
func (s *drafts) put(session string, d *draft) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	blocks := len(d.edit.Base.Blocks)
	if len(s.bySession) >= MaxDrafts || s.otherBlocks(session)+blocks > MaxDraftBlocks {
		return &pageError{status: 503, message: "too many edits are open at this instance; finish or discard one, or use another instance"}
	}
	s.bySession[session] = &kept{draft: d, used: s.now(), blocks: blocks}
	return nil
}

// grow accepts a new number of blocks of a session's draft, or rejects it.
func (s *drafts) grow(session string, blocks int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.otherBlocks(session)+blocks > MaxDraftBlocks {
		return &pageError{status: 503, message: "the edits at this instance have too many client blocks together; finish or discard one, or use another instance"}
	}
	if k := s.bySession[session]; k != nil {
		k.blocks = max(k.blocks, blocks)
	}
	return nil
}

func (s *drafts) otherBlocks(session string) int {
	total := 0
	for other, k := range s.bySession {
		if other != session {
			total += k.blocks
		}
	}
	return total
}

func (s *drafts) remove(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.bySession, session)
}

func (s *drafts) expire() {
	for session, k := range s.bySession {
		if s.now().Sub(k.used) > DraftIdle {
			delete(s.bySession, session)
		}
	}
}
