package lookup_test
import ("testing";"math/rand/v2";"github.com/jacinthstall/jacinthstall/lookup")
func BenchmarkTrialChase(b *testing.B) {
	p := make([]uint32, 10<<18); perm := rand.Perm(len(p)); for i := range p { p[perm[i]] = uint32(perm[(i+1)%len(p)]) }
	j := uint32(0)
	for b.Loop() { j = p[j] }
	_ = j
}
func BenchmarkTrialSizes(b *testing.B) {
	for _, n := range []int{1000,100000,570000} {
	b.Run("", func(b *testing.B){
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 1)), n)
	table, _ := lookup.NewTable(blocks)
	a := randomAddresses(blocks)
	for i := 0; b.Loop(); i++ { table.Lookup(a[i&0xffff]) }
	})
	}
}
