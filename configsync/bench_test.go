package configsync

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkAdvance measures how long an instance takes to put a change of one
// block in force at the design scale of 570,000 blocks.
func BenchmarkAdvance(b *testing.B) {
	document := testDocument(570000)
	before := snapshotOf(b, 1, document)
	document.Blocks[17].Site = "elsewhere"
	after := snapshotOf(b, 2, document)
	ops, err := diffDocuments(before.document, after.document)
	require.NoError(b, err)
	after.head.deltas = []delta{{version: 2, manifest: after.head.Manifest, ops: ops}}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, err := advance(context.Background(), before, after.head, noFetch, func(error) {})
		require.NoError(b, err)
	}
}
