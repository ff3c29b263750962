package quarantine

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// numberedSignature returns a distinct signature for each number.
func numberedSignature(number int) Signature {
	var signature Signature
	binary.BigEndian.PutUint64(signature[:], uint64(number))
	return signature
}

func TestRequestIsQuarantinedAtThreshold(t *testing.T) {
	ledger := NewLedger()
	signature := numberedSignature(1)
	for replica := range uint64(QuarantineThreshold) {
		require.False(t, ledger.IsQuarantined(signature), "after %d crashes", replica)
		for range 3 { // several relays may report the same crash, and retry unanswered reports
			ledger.RecordCrash(signature, replica)
		}
	}
	require.True(t, ledger.IsQuarantined(signature))
	require.False(t, ledger.IsQuarantined(numberedSignature(2)))
	ledger.Release(signature)
	require.False(t, ledger.IsQuarantined(signature))
	require.Empty(t, ledger.Suspects())
}

func TestTrialIsGrantedOnce(t *testing.T) {
	ledger := NewLedger()
	signature := numberedSignature(1)
	require.False(t, ledger.GrantTrial(signature, 0), "it is unknown")
	ledger.RecordCrash(signature, 1)
	require.False(t, ledger.GrantTrial(signature, 0), "it is not quarantined")
	ledger.RecordCrash(signature, 2)
	require.True(t, ledger.GrantTrial(signature, 0))
	require.False(t, ledger.GrantTrial(signature, 0), "a concurrent request got the trial")
	require.True(t, ledger.GrantTrial(signature, 1))
}

func TestLedgerIsBounded(t *testing.T) {
	ledger := NewLedger()
	for number := range 2 * maximumSuspects {
		ledger.RecordCrash(numberedSignature(number), 1)
	}
	require.Len(t, ledger.Suspects(), maximumSuspects)
	require.Equal(t, numberedSignature(maximumSuspects), ledger.Suspects()[0].Signature, "the oldest ones are removed")
	for number := range MaximumQuarantined + 10 {
		for replica := range uint64(4 * maximumReplicas) {
			ledger.RecordCrash(numberedSignature(-number-1), replica)
		}
	}
	quarantined := 0
	for _, suspect := range ledger.Suspects() {
		require.LessOrEqual(t, len(suspect.Replicas), maximumReplicas)
		if suspect.IsQuarantined() {
			quarantined++
		}
	}
	require.Equal(t, MaximumQuarantined, quarantined)
	require.Equal(t, quarantined, ledger.quarantinedCount)
	require.Len(t, ledger.Suspects(), len(ledger.bySignature))
	require.False(t, ledger.IsQuarantined(numberedSignature(-1)), "the first quarantined one is removed")
	require.True(t, ledger.IsQuarantined(numberedSignature(-MaximumQuarantined-10)))
}

func TestSnapshotRestoresLedger(t *testing.T) {
	require.Nil(t, NewLedger().Snapshot())
	ledger := NewLedger()
	for number := range 20 {
		for replica := range uint64(1 + number%5) {
			ledger.RecordCrash(numberedSignature(number), replica)
		}
	}
	require.True(t, ledger.GrantTrial(numberedSignature(4), 0))
	records := ledger.Snapshot()
	restored := Restore(append(records, &v1.SuspectRequest{Signature: []byte("short")}))
	again := restored.Snapshot()
	require.Len(t, again, len(records))
	for index := range records {
		require.True(t, proto.Equal(records[index], again[index]))
	}
	require.Equal(t, ledger.quarantinedCount, restored.quarantinedCount)
	require.True(t, restored.IsQuarantined(numberedSignature(4)))
	require.False(t, restored.GrantTrial(numberedSignature(4), 0), "a trial was granted before")
}
