package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// fleet returns a directory of engines over ten zones. With pairs, a quarter reads
// prompts, a quarter does both and the others write output.
func fleet(size int, pairs bool) []BackEnd {
	backEnds := make([]BackEnd, size)
	for i := range backEnds {
		role := enginecontract.RoleMixed
		if pairs {
			role = []enginecontract.Role{enginecontract.RolePrefill, enginecontract.RoleDecode,
				enginecontract.RoleDecode, enginecontract.RoleMixed}[i%4]
		}
		backEnds[i] = engine(fmt.Sprintf("engine-%04d", i), role, inZone(fmt.Sprintf("zone-%d", i%10)),
			withLoad(Load{Running: i % 13, Waiting: i % 5, WaitingPromptTokens: int64(i%7) * 1000}))
	}
	return backEnds
}

// BenchmarkPick measures one decision with prefix blocks, and the Sent and Finished
// that go with it.
func BenchmarkPick(b *testing.B) {
	for _, pairs := range []bool{false, true} {
		for _, size := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("pairs=%v/replicas=%d", pairs, size), func(b *testing.B) {
				router, err := New(Config{Zone: "zone-0", Seed: 1})
				if err != nil {
					b.Fatal(err)
				}
				router.SetBackEnds(fleet(size, pairs))
				asked := request()
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					asked.PrefixBlocks = prompt(i % 500)
					choice, err := router.Pick(time.Second, asked, nil)
					if err != nil {
						b.Fatal(err)
					}
					router.Observe(time.Second, Dispatch{BackEnd: choice.BackEnd.Name, Exchange: "x", PromptTokens: 2000, PrefixBlocks: asked.PrefixBlocks})
					router.Observe(time.Second, Completion{BackEnd: choice.BackEnd.Name, Exchange: "x"})
				}
			})
		}
	}
}

// prompt returns the blocks of one of many prompts: 4 shared blocks and 28 of its own.
func prompt(number int) []uint64 {
	blocks := make([]uint64, 32)
	for i := range blocks {
		blocks[i] = rendezvousWeight(uint64(i), uint64(number/10))
		if i >= 4 {
			blocks[i] = rendezvousWeight(uint64(i), uint64(number)+1_000_000)
		}
	}
	return blocks
}

// BenchmarkSetBackEnds measures taking in a changed directory.
func BenchmarkSetBackEnds(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			router, err := New(Config{Zone: "zone-0", Seed: 1})
			if err != nil {
				b.Fatal(err)
			}
			backEnds := fleet(size, true)
			for b.Loop() {
				router.SetBackEnds(backEnds)
			}
		})
	}
}
