package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// fleet returns a directory of engines in ten zones. With pairs, a quarter are prefill engines, a quarter mixed
// engines and the others decode engines.
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

// BenchmarkPick measures one decision with prefix blocks, including its Dispatch and Completion.
func BenchmarkPick(b *testing.B) {
	for _, pairs := range []bool{false, true} {
		for _, size := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("pairs=%v/replicas=%d", pairs, size), func(b *testing.B) {
				router, err := New(Config{Zone: "zone-0", Seed: 1})
				if err != nil {
					b.Fatal(err)
				}
				router.SetBackEnds(fleet(size, pairs))
				pickRequest := request()
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					pickRequest.PrefixBlocks = promptBlocks(i % 500)
					choice, err := router.Pick(time.Second, pickRequest, nil)
					if err != nil {
						b.Fatal(err)
					}
					router.Observe(time.Second, Dispatch{BackEnd: choice.BackEnd.Name, Exchange: "x", PromptTokens: 2000, PrefixBlocks: pickRequest.PrefixBlocks})
					router.Observe(time.Second, Completion{BackEnd: choice.BackEnd.Name, Exchange: "x"})
				}
			})
		}
	}
}

// promptBlocks returns the blocks of one of many prompts: 4 shared blocks and 28 of its own.
func promptBlocks(number int) []uint64 {
	blocks := make([]uint64, 32)
	for i := range blocks {
		blocks[i] = rendezvousWeight(uint64(i), uint64(number/10))
		if i >= 4 {
			blocks[i] = rendezvousWeight(uint64(i), uint64(number)+1_000_000)
		}
	}
	return blocks
}

// BenchmarkSetBackEnds measures replacing the directory.
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
