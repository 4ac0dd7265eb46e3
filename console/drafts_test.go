package console

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
)

// The memory of all edits must be bounded, at the start of an edit and at an
// import, without dropping an operator's edit.
func TestDraftBlocks(t *testing.T) {
	s := newDraftStore(func() time.Time { return time.Unix(0, 0) })
	half := func() *draft {
		d := &policy.Document{Blocks: make([]policy.Block, MaxDraftBlocks/2)}
		return &draft{edit: ctl.Edit{Base: d, Mine: d}}
	}
	assert.NoError(t, s.put("a", half()))
	assert.NoError(t, s.put("b", half()))
	assert.Error(t, s.put("c", half()))
	assert.NoError(t, s.updateBlocks("a", MaxDraftBlocks/2))
	assert.Error(t, s.updateBlocks("a", MaxDraftBlocks/2+1))
	assert.NotNil(t, s.get("a"))
	s.remove("b")
	assert.NoError(t, s.updateBlocks("a", MaxDraftBlocks))
	assert.Error(t, s.put("c", half()))
}
