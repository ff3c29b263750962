package controlstate

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	granted  = v1.ClaimState_CLAIM_STATE_GRANTED
	running  = v1.ClaimState_CLAIM_STATE_RUNNING
	finished = v1.ClaimState_CLAIM_STATE_FINISHED
	unknown  = v1.ClaimState_CLAIM_STATE_UNKNOWN
	conflict = v1.ClaimState_CLAIM_STATE_CONFLICT
)

func notRun(finish *v1.FinishClaim)     { finish.NotRun = true }
func mayHaveRun(finish *v1.FinishClaim) { finish.MayHaveRun = true }
func ran(finish *v1.FinishClaim)        { finish.Status, finish.Body = 201, []byte("made") }

func TestClaims(t *testing.T) {
	lose := func(s *testState, incarnation uint64) {
		s.run(&v1.Command{Body: &v1.Command_LoseGateway{LoseGateway: &v1.LoseGateway{Gateway: "g", Incarnation: incarnation}}})
	}
	cases := []struct {
		name   string
		change func(*testState)
		// holder and other are the answers that the first and a second attempt get afterwards.
		holder, other v1.ClaimState
	}{
		{"still running", func(*testState) {}, granted, running},
		{"finished", func(s *testState) { s.finishClaim("k", "first", ran) }, finished, finished},
		{"finished twice", func(s *testState) {
			s.finishClaim("k", "first", ran)
			s.finishClaim("k", "first", notRun)
		}, finished, finished},
		{"may have run", func(s *testState) { s.finishClaim("k", "first", mayHaveRun) }, unknown, unknown},
		{"may have run, then not run", func(s *testState) {
			s.finishClaim("k", "first", mayHaveRun)
			s.finishClaim("k", "first", notRun)
		}, unknown, unknown},
		{"unknown, then its outcome", func(s *testState) {
			lose(s, 1)
			s.finishClaim("k", "first", ran)
		}, finished, finished},
		{"gateway lost", func(s *testState) { lose(s, 1) }, unknown, unknown},
		{"older process of the gateway lost", func(s *testState) { lose(s, 0) }, granted, running},
		{"not run", func(s *testState) { s.finishClaim("k", "first", notRun) }, running, granted},
		{"not run, then a late copy of the first begin", func(s *testState) {
			s.finishClaim("k", "first", notRun)
			s.claim("k", "first", 1, "g", 1)
		}, running, granted},
		{"outcome of another attempt", func(s *testState) {
			require.ErrorIs(s.t, s.finishClaim("k", "stranger", ran).Err, ErrClaimNotHeld)
		}, granted, running},
		{"outcome of a released attempt", func(s *testState) {
			s.finishClaim("k", "first", notRun)
			s.claim("k", "second", 1, "g", 1)
			require.ErrorIs(s.t, s.finishClaim("k", "first", ran).Err, ErrClaimNotHeld)
			require.NoError(s.t, s.finishClaim("k", "first", notRun).Err, "a resend")
		}, running, granted},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newTestState(t)
			require.Equal(t, granted, s.claim("k", "first", 1, "g", 1).Claim.State)
			test.change(s)
			require.Equal(t, conflict, s.claim("k", "third", 2, "g", 1).Claim.State, "the same key with another body")
			require.Equal(t, test.holder, s.claim("k", "first", 1, "g", 1).Claim.State, "the first attempt")
			answer := s.claim("k", "second", 1, "g", 1).Claim
			require.Equal(t, test.other, answer.State, "a second attempt")
			if test.other == finished {
				require.Equal(t, uint32(201), answer.Status)
				require.Equal(t, "made", string(answer.Body))
			}
		})
	}
}

func TestClaimsExpire(t *testing.T) {
	s := newTestState(t)
	s.claim("k", "first", 1, "g", 1)
	require.Equal(t, []ClaimHolder{{"g", 1}}, s.ClaimHolders())
	expiry := s.Claims()[0].ExpiresAtMs
	require.False(t, s.HasExpiredClaims(expiry-1))
	require.True(t, s.HasExpiredClaims(expiry))
	s.run(&v1.Command{Body: &v1.Command_ExpireClaims{ExpireClaims: &v1.ExpireClaims{BeforeMs: expiry}}})
	require.Empty(t, s.Claims())
	late := s.run(&v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: &v1.BeginClaim{
		Tenant: "tenant", Kind: "alert", Key: "k", Attempt: "first", ExpiresAtMs: expiry}}})
	require.ErrorIs(t, late.Err, ErrClaimExpired, "a late copy of the command does not restore the claim")
	far := s.run(&v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: &v1.BeginClaim{
		Tenant: "tenant", Kind: "alert", Key: "far", Attempt: "a", ExpiresAtMs: s.now + 10*MaximumClaimLifetime.Milliseconds()}}})
	require.NoError(t, far.Err)
	require.Equal(t, s.now+MaximumClaimLifetime.Milliseconds(), s.Claims()[0].ExpiresAtMs)
}

func TestClaimBounds(t *testing.T) {
	s := newTestState(t)
	for _, begin := range []*v1.BeginClaim{
		{}, {Tenant: "t", Kind: "k", Key: "k"},
		{Tenant: "t", Kind: "k", Key: string(make([]byte, MaximumClaimKeyBytes+1)), Attempt: "a", ExpiresAtMs: s.now + 1000},
	} {
		result := s.run(&v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: begin}})
		require.ErrorIs(t, result.Err, ErrInvalidCommand)
	}
	s.claim("k", "first", 1, "g", 1)
	s.finishClaim("k", "first", func(finish *v1.FinishClaim) {
		finish.Status, finish.Body = 200, make([]byte, MaximumOutcomeBytes+1)
	})
	answer := s.claim("k", "second", 1, "g", 1).Claim
	require.Equal(t, finished, answer.State)
	require.True(t, answer.BodyOmitted)
}

// TestClaimLimitsPerTenant fills the claims of one tenant, and then its stored outcomes; other tenants keep their
// capacity.
func TestClaimLimitsPerTenant(t *testing.T) {
	s := newTestState(t)
	begin := func(tenant string, number int) error {
		return s.run(&v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: &v1.BeginClaim{
			Tenant: tenant, Kind: "alert", Key: strconv.Itoa(number), Attempt: "a", ExpiresAtMs: s.now + 1000}}}).Err
	}
	finish := func(tenant string, number, bytes int) bool {
		require.NoError(t, s.run(&v1.Command{Body: &v1.Command_FinishClaim{FinishClaim: &v1.FinishClaim{
			Tenant: tenant, Kind: "alert", Key: strconv.Itoa(number), Attempt: "a", Status: 200, Body: make([]byte, bytes)}}}).Err)
		return !s.claims.records[claimKey{tenant, "alert", strconv.Itoa(number)}].BodyOmitted
	}
	for number := range MaximumTenantClaims {
		require.NoError(t, begin("flooding", number))
	}
	require.ErrorIs(t, begin("flooding", MaximumTenantClaims), ErrTooManyClaims)
	require.NoError(t, begin("flooding", 0), "a resend of a claim that is granted already")
	require.NoError(t, begin("neighbour", 0))

	const maximumStored = MaximumTenantOutcomeBytes / MaximumOutcomeBytes
	for number := range maximumStored {
		require.True(t, finish("flooding", number, MaximumOutcomeBytes))
	}
	require.False(t, finish("flooding", maximumStored, 1), "the tenant's limit is reached")
	require.True(t, finish("neighbour", 0, MaximumOutcomeBytes))

	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := Restore(data, s.safeguards)
	require.NoError(t, err)
	require.Equal(t, s.claims.uses, restored.claims.uses)

	s.run(&v1.Command{Body: &v1.Command_ExpireClaims{ExpireClaims: &v1.ExpireClaims{BeforeMs: s.now + 2*MaximumClaimLifetime.Milliseconds()}}})
	require.Equal(t, newClaimUses(), s.claims.uses)
}

func TestSafeguardOfClaims(t *testing.T) {
	s := newTestState(t, ClaimCheck)
	s.claim("k", "first", 1, "g", 1)
	require.Equal(t, granted, s.claim("k", "second", 1, "g", 1).Claim.State, "two attempts may run")
}
