package authority

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

func TestNewerFenceEpoch(t *testing.T) {
	tests := []struct {
		name       string
		epochs     []uint64
		leading    uint64
		isMajority bool
		epoch      uint64
	}{
		{"no engines", nil, 3, false, 0},
		{"this leader's epoch", []uint64{3, 3, 2}, 3, false, 0},
		{"one of three", []uint64{3, 90, 2}, 3, false, 90},
		{"half", []uint64{3, 90}, 3, false, 90},
		{"most", []uint64{40, 90, 2}, 3, true, 90},
		{"not leading", []uint64{40, 90}, 0, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.leading)
			for i, epoch := range test.epochs {
				name := string(rune('a' + i))
				b.addEngine(name, "zone-a", enginecontract.RoleMixed)
				b.engines[name].RaiseFence(b.now, enginecontract.Fence{Epoch: epoch}, 0)
				b.poll(name)
			}
			epoch, isMajority := b.commander.NewerFenceEpoch()
			require.Equal(t, test.isMajority, isMajority)
			require.Equal(t, test.epoch, epoch)
		})
	}
}
