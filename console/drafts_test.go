package console

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
)

// Guards against drafts that together use too much memory. The limit must apply
// when a draft is started and when a document is imported, and must not remove
// the draft of another operator.
func TestDraftBlocks(t *testing.T) {
	store := newDraftStore(func() time.Time { return time.Unix(0, 0) })
	half := func() *draft {
		d := &policy.Document{Blocks: make([]policy.Block, MaxDraftBlocks/2)}
		return &draft{edit: ctl.Edit{Base: d, Mine: d}}
	}
	assert.NoError(t, store.put("a", half()))
	assert.NoError(t, store.put("b", half()))
	assert.Error(t, store.put("c", half()))
	assert.NoError(t, store.updateBlocks("a", MaxDraftBlocks/2))
	assert.Error(t, store.updateBlocks("a", MaxDraftBlocks/2+1))
	assert.NotNil(t, store.get("a"))
	store.remove("b")
	assert.NoError(t, store.updateBlocks("a", MaxDraftBlocks))
	assert.Error(t, store.put("c", half()))
}
