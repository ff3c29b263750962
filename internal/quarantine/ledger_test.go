package quarantine

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// numbered returns a signature of its own for each number.
func numbered(number int) Signature {
	var signature Signature
	binary.BigEndian.PutUint64(signature[:], uint64(number))
	return signature
}

func TestARequestIsHeldOnceEnoughReplicasEndedUnderIt(t *testing.T) {
	ledger := NewLedger()
	signature := numbered(1)
	for replica := range uint64(QuarantineThreshold) {
		require.False(t, ledger.IsQuarantined(signature), "after %d ends", replica)
		for range 3 { // relays tell what others have told, and tell again what got no answer
			ledger.RecordCrash(signature, replica)
		}
	}
	require.True(t, ledger.IsQuarantined(signature))
	require.False(t, ledger.IsQuarantined(numbered(2)))
	ledger.Release(signature)
	require.False(t, ledger.IsQuarantined(signature))
	require.Empty(t, ledger.Suspects())
}

func TestATrialIsGrantedOnce(t *testing.T) {
	ledger := NewLedger()
	signature := numbered(1)
	require.False(t, ledger.GrantTrial(signature, 0), "it is not known")
	ledger.RecordCrash(signature, 1)
	require.False(t, ledger.GrantTrial(signature, 0), "it is not held")
	ledger.RecordCrash(signature, 2)
	require.True(t, ledger.GrantTrial(signature, 0))
	require.False(t, ledger.GrantTrial(signature, 0), "another asked at the same time")
	require.True(t, ledger.GrantTrial(signature, 1))
}

func TestTheLedgerIsBounded(t *testing.T) {
	ledger := NewLedger()
	for number := range 2 * mostSuspects {
		ledger.RecordCrash(numbered(number), 1)
	}
	require.Len(t, ledger.Suspects(), mostSuspects)
	require.Equal(t, numbered(mostSuspects), ledger.Suspects()[0].Signature, "the oldest give way")
	for number := range MaxQuarantined + 10 {
		for replica := range uint64(4 * mostReplicas) {
			ledger.RecordCrash(numbered(-number-1), replica)
		}
	}
	held := 0
	for _, suspect := range ledger.Suspects() {
		require.LessOrEqual(t, len(suspect.Replicas), mostReplicas)
		if suspect.IsQuarantined() {
			held++
		}
	}
	require.Equal(t, MaxQuarantined, held)
	require.Equal(t, held, ledger.held)
	require.Len(t, ledger.Suspects(), len(ledger.known))
	require.False(t, ledger.IsQuarantined(numbered(-1)), "the first one held gave way")
	require.True(t, ledger.IsQuarantined(numbered(-MaxQuarantined-10)))
}

func TestSnapshotsHoldTheLedger(t *testing.T) {
	require.Nil(t, NewLedger().Snapshot())
	ledger := NewLedger()
	for number := range 20 {
		for replica := range uint64(1 + number%5) {
			ledger.RecordCrash(numbered(number), replica)
		}
	}
	require.True(t, ledger.GrantTrial(numbered(4), 0))
	records := ledger.Snapshot()
	restored := Restore(append(records, &v1.SuspectRequest{Signature: []byte("short")}))
	again := restored.Snapshot()
	require.Len(t, again, len(records))
	for index := range records {
		require.True(t, proto.Equal(records[index], again[index]))
	}
	require.Equal(t, ledger.held, restored.held)
	require.True(t, restored.IsQuarantined(numbered(4)))
	require.False(t, restored.GrantTrial(numbered(4), 0), "a trial was granted before")
}
