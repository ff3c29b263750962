package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEstimates(t *testing.T) {
	declared := DeclaredTokens{PromptTokens: 600, OutputTokens: 40}
	defaultShape := RequestShape{Tenant: "a", Kind: "matching", DeclaredTokens: declared}
	record := func(e *Estimator, shape RequestShape, used Estimate) {
		for range 200 {
			e.RecordUsage(shape, used)
		}
	}
	rows := []struct {
		name   string
		record func(*Estimator)
		change func(*RequestShape)
		want   Estimate
	}{
		{"declared tokens before any measurement", nil, nil, Estimate{600, 40}},
		{"four bytes per token before any measurement", nil, func(s *RequestShape) { s.PromptBytes = 4000 }, Estimate{1000, 40}},
		{"the caller's output limit", nil, func(s *RequestShape) { s.MaximumOutputTokens = 8 }, Estimate{600, 8}},
		{"only the caller's output limit is known", nil,
			func(s *RequestShape) { s.DeclaredTokens, s.MaximumOutputTokens = DeclaredTokens{}, 8 }, Estimate{0, 8}},
		{"other tenants of the kind", func(e *Estimator) { record(e, RequestShape{Tenant: "b", Kind: "matching"}, Estimate{6000, 100}) },
			nil, Estimate{5600, 96}},
		{"the tenant's own usage outweighs that of others", func(e *Estimator) {
			record(e, RequestShape{Tenant: "a", Kind: "matching", PromptBytes: 3000}, Estimate{1000, 10})
			record(e, RequestShape{Tenant: "b", Kind: "matching"}, Estimate{6000, 100})
		}, func(s *RequestShape) { s.PromptBytes = 6000 }, Estimate{1996, 16}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			estimator, err := NewEstimator(16)
			require.NoError(t, err)
			if row.record != nil {
				row.record(estimator)
			}
			shape := defaultShape
			if row.change != nil {
				row.change(&shape)
			}
			require.Equal(t, row.want, estimator.Estimate(shape))
		})
	}
}

func TestEstimatorMemoryIsBounded(t *testing.T) {
	estimator, err := NewEstimator(10)
	require.NoError(t, err)
	for i := range 100 {
		estimator.RecordUsage(RequestShape{Tenant: fmt.Sprint(i), Kind: fmt.Sprint(i)}, Estimate{1, 1})
	}
	require.Equal(t, 10, estimator.pairs.Len())
	require.Equal(t, 10, estimator.kinds.Len())
	_, err = NewEstimator(0)
	require.Error(t, err)
}
