package gateway

import (
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// TestWaitForShare checks the limit of 128 tokens a second of a tenant that is new to a gateway: the first request uses
// up the initial share of one token a second, and the result of the next one depends on the leader's answer to the
// urgent report.
func TestWaitForShare(t *testing.T) {
	for _, row := range []struct {
		name   string
		report func(*v1.ReportRequest) (*v1.ReportResponse, error)
		status int
	}{
		{name: "the leader grants a share", status: http.StatusOK, report: grantShare(100_000)},
		{name: "the tenant is at its limit", status: http.StatusTooManyRequests, report: grantShare(1)},
		{name: "no leader answers", status: http.StatusTooManyRequests, report: func(*v1.ReportRequest) (*v1.ReportResponse, error) {
			return nil, connect.NewError(connect.CodeUnavailable, http.ErrServerClosed)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			service := startPage(t, "p1", nil)
			engine := startEngine(t)
			controller := startController(t, pageBackEnd("p1", service.Address()), engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
			controller.limitTenant("one", 128)
			urgent := make(chan *v1.ReportRequest, 100)
			controller.report = func(request *v1.ReportRequest) (*v1.ReportResponse, error) {
				if request.GetWindowMs() == 0 {
					urgent <- request
					return row.report(request)
				}
				return &v1.ReportResponse{}, nil
			}
			config := testSettings(controller.address)
			config.SyncInterval = time.Minute // so that no regular report requests the share first
			gateway := startGateway(t, config)
			headers := map[string]string{HeaderKind: "matching"}
			require.Equal(t, http.StatusOK, call(t, http.MethodPost, gateway.url+"/v1/chat/completions", unstreamedBody, headers).status)
			answer := call(t, http.MethodGet, gateway.url+"/lots", "", nil)
			require.Equal(t, row.status, answer.status, answer.body)
			require.NotEmpty(t, urgent)
			require.Equal(t, "one", (<-urgent).GetShareDemands()[0].GetTenant())
			if row.status != http.StatusOK {
				require.Equal(t, verdict.NotRun.String(), answer.verdict)
				require.Equal(t, codeRateLimit, answer.errorCode)
				require.NotEmpty(t, answer.header.Get("Retry-After"))
				require.Zero(t, service.Runs().Served)
			}
		})
	}
}

// grantShare answers each demand with a share of this number of tokens a second.
func grantShare(tokens uint64) func(*v1.ReportRequest) (*v1.ReportResponse, error) {
	return func(request *v1.ReportRequest) (*v1.ReportResponse, error) {
		response := &v1.ReportResponse{}
		for _, demand := range request.GetShareDemands() {
			response.Shares = append(response.Shares, &v1.Share{Tenant: demand.GetTenant(), TokensPerSecond: tokens, ValidMs: 4000})
		}
		return response, nil
	}
}

// limitTenant sets a tenant's limit.
func (c *testController) limitTenant(name string, tokensPerSecond uint64) {
	for _, each := range c.objects {
		if each.GetTenant() != nil && each.GetKey().GetName() == name {
			each.GetTenant().TokensPerSecond = tokensPerSecond
		}
	}
}
