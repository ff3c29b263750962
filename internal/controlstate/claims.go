package controlstate

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// claimKey identifies a claim: the right to run a request that must run at most once.
type claimKey struct{ tenant, kind, key string }

func (k claimKey) compare(other claimKey) int {
	return cmp.Or(cmp.Compare(k.tenant, other.tenant), cmp.Compare(k.kind, other.kind), cmp.Compare(k.key, other.key))
}

// claimTable holds the claims that have not expired.
type claimTable struct {
	records map[claimKey]*v1.ClaimRecord
	// expiredBefore is the time, in milliseconds since the Unix epoch, up to which expired claims have been dropped.
	// A late copy of a command that would begin such a claim again is refused.
	expiredBefore int64
	uses          claimUses
}

func newClaimTable() *claimTable {
	return &claimTable{records: map[claimKey]*v1.ClaimRecord{}, uses: newClaimUses()}
}

// beginClaim grants a claim to one attempt, or returns the state of the existing claim with the same key.
func (s *State) beginClaim(at int64, begin *v1.BeginClaim) Result {
	if err := checkClaim(begin); err != nil {
		return Result{Err: trace.Wrap(err)}
	}
	expires := min(begin.ExpiresAtMs, at+MaximumClaimLifetime.Milliseconds())
	if expires <= s.claims.expiredBefore || expires <= at {
		return Result{Err: trace.Wrap(ErrClaimExpired, "key %q of kind %q", begin.Key, begin.Kind)}
	}
	key := claimKey{begin.Tenant, begin.Kind, begin.Key}
	record := s.claims.records[key]
	switch {
	case record == nil && s.claims.uses.isFull(begin.Tenant):
		return Result{Err: trace.Wrap(ErrTooManyClaims, "%d claims, of this tenant %d", s.claims.uses.all.claims, s.claims.uses.tenants[begin.Tenant].claims)}
	case record == nil || !s.safeguards.IsEnabled(ClaimCheck):
		s.claims.put(key, newClaim(begin, expires, nil))
		return Result{Claim: claimAnswer(v1.ClaimState_CLAIM_STATE_GRANTED)}
	case !bytes.Equal(record.BodyHash, begin.BodyHash):
		return Result{Claim: claimAnswer(v1.ClaimState_CLAIM_STATE_CONFLICT)}
	case record.Released && !slices.Contains(record.ReleasedAttempts, begin.Attempt):
		s.claims.put(key, newClaim(begin, max(expires, record.ExpiresAtMs), record.ReleasedAttempts))
		return Result{Claim: claimAnswer(v1.ClaimState_CLAIM_STATE_GRANTED)}
	}
	return Result{Claim: answerExisting(record, begin.Attempt)}
}

// put replaces the record of a key.
func (t *claimTable) put(key claimKey, record *v1.ClaimRecord) {
	t.remove(key)
	t.records[key] = record
	t.uses.add(record, 1)
}

func (t *claimTable) remove(key claimKey) {
	if record := t.records[key]; record != nil {
		t.uses.add(record, -1)
		delete(t.records, key)
	}
}

func checkClaim(begin *v1.BeginClaim) error {
	switch {
	case begin.Tenant == "" || begin.Kind == "" || begin.Key == "" || begin.Attempt == "":
		return trace.Wrap(ErrInvalidCommand, "a claim needs tenant, kind, key and attempt")
	case len(begin.Key) > MaximumClaimKeyBytes || len(begin.Attempt) > MaximumClaimKeyBytes:
		return trace.Wrap(ErrInvalidCommand, "key or attempt of a claim has more than %d bytes", MaximumClaimKeyBytes)
	case len(begin.BodyHash) > keyHashBytes:
		return trace.Wrap(ErrInvalidCommand, "the body hash has %d bytes; at most %d", len(begin.BodyHash), keyHashBytes)
	}
	return nil
}

func newClaim(begin *v1.BeginClaim, expires int64, released []string) *v1.ClaimRecord {
	return &v1.ClaimRecord{
		Tenant: begin.Tenant, Kind: begin.Kind, Key: begin.Key, BodyHash: begin.BodyHash,
		Attempt: begin.Attempt, Gateway: begin.Gateway, GatewayIncarnation: begin.GatewayIncarnation,
		State: v1.ClaimState_CLAIM_STATE_GRANTED, ExpiresAtMs: expires, ReleasedAttempts: released,
	}
}

func claimAnswer(state v1.ClaimState) *v1.BeginClaimResponse {
	return &v1.BeginClaimResponse{State: state}
}

// answerExisting returns the answer to an attempt to begin a claim that exists already.
func answerExisting(record *v1.ClaimRecord, attempt string) *v1.BeginClaimResponse {
	switch {
	case record.State == v1.ClaimState_CLAIM_STATE_FINISHED:
		return &v1.BeginClaimResponse{
			State: record.State, Status: record.Status, ContentType: record.ContentType,
			Body: record.Body, BodyOmitted: record.BodyOmitted,
		}
	case record.State == v1.ClaimState_CLAIM_STATE_UNKNOWN:
		return claimAnswer(record.State)
	case record.Attempt == attempt && !record.Released:
		return claimAnswer(v1.ClaimState_CLAIM_STATE_GRANTED)
	default:
		return claimAnswer(v1.ClaimState_CLAIM_STATE_RUNNING)
	}
}

// finish records the outcome of a claimed request, or releases the claim if the request did not run. An outcome that is
// recorded already is not replaced.
func (t *claimTable) finish(finish *v1.FinishClaim) error {
	key := claimKey{finish.Tenant, finish.Kind, finish.Key}
	record := t.records[key]
	if record == nil {
		return trace.Wrap(ErrClaimNotHeld, "key %q of kind %q is not claimed", finish.Key, finish.Kind)
	}
	if slices.Contains(record.ReleasedAttempts, finish.Attempt) && finish.NotRun {
		return nil // a resend
	}
	if record.Attempt != finish.Attempt || record.Released {
		return trace.Wrap(ErrClaimNotHeld, "key %q of kind %q is held by another attempt", finish.Key, finish.Kind)
	}
	if record.State == v1.ClaimState_CLAIM_STATE_FINISHED {
		return nil
	}
	updated := proto.CloneOf(record)
	switch {
	case finish.MayHaveRun:
		updated.State = v1.ClaimState_CLAIM_STATE_UNKNOWN
	case finish.NotRun && record.State == v1.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil // the state stays unknown: the request may have run
	case finish.NotRun:
		release(updated)
	default:
		recordOutcome(updated, finish, t.uses.fitsBody(finish.Tenant, len(finish.Body)))
	}
	t.put(key, updated)
	return nil
}

// release frees a claim whose request did not run, so that another attempt may claim it.
func release(record *v1.ClaimRecord) {
	record.Released = true
	record.ReleasedAttempts = append(slices.Clone(record.ReleasedAttempts), record.Attempt)
	if excess := len(record.ReleasedAttempts) - MaximumReleasedAttempts; excess > 0 {
		record.ReleasedAttempts = record.ReleasedAttempts[excess:]
	}
}

// isClaimRunning reports whether an attempt holds the claim and has not reported an outcome.
func isClaimRunning(record *v1.ClaimRecord) bool {
	return record.State == v1.ClaimState_CLAIM_STATE_GRANTED && !record.Released
}

func recordOutcome(record *v1.ClaimRecord, finish *v1.FinishClaim, keepBody bool) {
	record.State = v1.ClaimState_CLAIM_STATE_FINISHED
	record.Status = finish.Status
	record.ContentType = finish.ContentType
	record.Body = finish.Body
	if !keepBody {
		record.Body = nil
		record.BodyOmitted = true
	}
}

// expire drops the claims that expire up to a time, in milliseconds since the Unix epoch.
func (t *claimTable) expire(before int64) {
	t.expiredBefore = max(t.expiredBefore, before)
	for key, record := range t.records {
		if record.ExpiresAtMs <= t.expiredBefore {
			t.remove(key)
		}
	}
}

// loseGateway sets the running claims of a lost gateway process, and of its earlier incarnations, to the state unknown.
func (t *claimTable) loseGateway(gateway string, incarnation uint64) {
	for key, record := range t.records {
		if !isClaimRunning(record) || record.Gateway != gateway || record.GatewayIncarnation > incarnation {
			continue
		}
		updated := proto.CloneOf(record)
		updated.State = v1.ClaimState_CLAIM_STATE_UNKNOWN
		t.put(key, updated)
	}
}

// sorted lists the claims ordered by tenant, kind and key.
func (t *claimTable) sorted() []*v1.ClaimRecord {
	records := make([]*v1.ClaimRecord, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b *v1.ClaimRecord) int {
		return claimKey{a.Tenant, a.Kind, a.Key}.compare(claimKey{b.Tenant, b.Kind, b.Key})
	})
	return records
}

// Claims lists the claims ordered by tenant, kind and key.
func (s *State) Claims() []*v1.ClaimRecord { return s.claims.sorted() }

// ClaimHolder identifies a gateway process that holds claims without an outcome.
type ClaimHolder struct {
	Gateway     string
	Incarnation uint64
}

// ClaimHolders lists the gateway processes that hold claims without an outcome, ordered by
// name and incarnation.
func (s *State) ClaimHolders() []ClaimHolder {
	holders := map[ClaimHolder]bool{}
	for _, record := range s.claims.records {
		if isClaimRunning(record) {
			holders[ClaimHolder{record.Gateway, record.GatewayIncarnation}] = true
		}
	}
	sorted := make([]ClaimHolder, 0, len(holders))
	for holder := range holders {
		sorted = append(sorted, holder)
	}
	slices.SortFunc(sorted, func(a, b ClaimHolder) int {
		return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return sorted
}

// HasExpiredClaims reports whether ExpireClaims with this time would drop a claim.
func (s *State) HasExpiredClaims(before int64) bool {
	for _, record := range s.claims.records {
		if record.ExpiresAtMs <= before {
			return true
		}
	}
	return false
}
