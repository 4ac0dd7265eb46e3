package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/mirror"
)

// Pattern: all followers of a large domain take a large configuration at once
// from an instance with a slow link. It must be packed well below its size.
func TestSnapshotsAreCompressed(t *testing.T) {
	s := mirror.Snapshot{Revision: 7, Whole: true, ReturnedMs: 3}
	size := 0
	for i := range 1400 {
		value := fmt.Appendf(nil, `{"host":"a%d.example","prefix":"/route%d/","timeout":"1500ms","routeKind":"safe","attempts":2}`, i%3, i)
		size += len(value)
		s.Items = append(s.Items, kv.Item{Key: fmt.Sprint("k", i), Value: value, Revision: uint64(i + 1), Deleted: i%9 == 0})
	}
	b, err := compressedEncoding{}.Marshal(&s)
	require.NoError(t, err)
	assert.Less(t, len(b), size/4)
	var got mirror.Snapshot
	require.NoError(t, compressedEncoding{}.Unmarshal(b, &got))
	assert.Equal(t, s, got)
	assert.Error(t, compressedEncoding{}.Unmarshal(b[:len(b)/2], &got))
	assert.Error(t, compressedEncoding{}.Unmarshal(nil, &got))

	s = mirror.Snapshot{Revision: 8, Items: s.Items[:1]}
	b, err = compressedEncoding{}.Marshal(&s)
	require.NoError(t, err)
	got = mirror.Snapshot{}
	require.NoError(t, compressedEncoding{}.Unmarshal(b, &got))
	assert.Equal(t, s, got)
}
