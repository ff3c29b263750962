package origins

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// targetRelays is the number of relays of the size to design for.
const targetRelays = 985

// Guards against reports that grow: a relay may spend 27 KB a second on control, and sends three for each of its streams.
func TestReportsAreSmall(t *testing.T) {
	origin := originToWire(streamorigin.NameOf("tenant", "host", "id"), recordOf("v1"), streamorigin.MaxLifetime)
	report := &v1.RelayDatagram{Format: 1, Content: &v1.RelayDatagram_StreamOriginReport{StreamOriginReport: &v1.StreamOriginReport{Relay: 1 << 63, Number: 1 << 40, Origin: origin}}}
	receipt := &v1.RelayDatagram{Format: 1, Content: &v1.RelayDatagram_StreamOriginReceipt{StreamOriginReceipt: &v1.StreamOriginReceipt{Relay: 1 << 63, Number: 1 << 40}}}
	require.LessOrEqual(t, proto.Size(report), 80)
	require.LessOrEqual(t, proto.Size(receipt), 24)
}

// BenchmarkRecord measures what a record costs the relay that makes it, among as many relays as the target has.
func BenchmarkRecord(b *testing.B) {
	var relays []string
	for number := range targetRelays {
		relays = append(relays, fmt.Sprintf("10.%d.%d.%d:7000", number>>16, number>>8&255, number&255))
	}
	table := streamorigin.NewTable(streamorigin.MaxRecords)
	now := time.Duration(0)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		now += time.Millisecond
		name := streamorigin.NameOf("tenant", "host", fmt.Sprint(index))
		table.Put(now, name, recordOf("v1"), streamorigin.MaxLifetime)
		if len(cell.Owners(name.Low, relays, ownersPerStream)) != ownersPerStream {
			b.Fatal("too few owners")
		}
	}
}
