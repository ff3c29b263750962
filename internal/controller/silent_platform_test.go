package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// startOutsideSystem starts a server that stands for the platform and for an engine: it answers the calls of all duties.
func startOutsideSystem(t *testing.T, ip string) (address string) {
	t.Helper()
	listener, err := closing.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(map[string]any{})
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// exchange calls the outside system as the readers and callers of a site do.
func exchange(ctx context.Context, client *http.Client, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, http.NoBody)
	if err != nil {
		return err
	}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(&struct{}{})
}

// outsideCalls returns a call of each kind that a controller makes to systems outside, as the Core asks for it again and
// again. A call reports whether it was answered.
func outsideCalls(t *testing.T, own, address string) map[string]func() bool {
	t.Helper()
	dial, err := dialing.FromSource(own, outsideDialTimeout)
	require.NoError(t, err)
	origin := time.Now()
	now := func() time.Duration { return time.Since(origin) }
	log := logring.New("controller", settings.Log{RingEntries: 16})
	site := &Site{
		ReadListing: func(ctx context.Context, client *http.Client, _ int) (serving.Listing, error) {
			return serving.Listing{}, exchange(ctx, client, address)
		},
		OrderStage: func(ctx context.Context, client *http.Client, _ StageOrder) (StageResult, error) {
			return StageResult{}, exchange(ctx, client, address)
		},
		ReportUsage: func(ctx context.Context, client *http.Client, _ UsageReport) (duty.Outcome, error) {
			return duty.Accepted, exchange(ctx, client, address)
		},
	}
	listing := newListingReader(site, dial, nil, log)
	stages := newStageOrderer(site, dial, now, nil, log)
	duties := newDutyCaller(site, dial, now, nil, log)
	exchanges := newEngines(dial, nil, func(string, bool) {})
	machines := newExternalClient(dial, maxMachineListBytes)
	return map[string]func() bool{
		"list": func() bool { _, err := listing.read(t.Context(), listing.client, 0); return err == nil },
		"stage order": func() bool {
			_, err := stages.send(t.Context(), StageOrder{}, now()+orderLifetime)
			return err == nil
		},
		"duty call": func() bool {
			_, err := duties.send(t.Context(), control.DutyCall{NotAfter: now() + orderLifetime}, func(ctx context.Context, client *http.Client) (duty.Outcome, error) {
				return site.ReportUsage(ctx, client, UsageReport{})
			})
			return err == nil
		},
		"engine poll": func() bool {
			return exchanges.exchange(control.PollEngine{Address: address}).(control.EngineStateReceived).State != nil
		},
		"engine order": func() bool {
			return exchanges.exchange(control.SendOrder{Address: address}).(control.OrderAnswered).Answer != nil
		},
		"machine list": func() bool {
			return get(machines, address, enginecontract.PathMachines, &enginecontract.MachineList{}) == nil
		},
	}
}

// orderLifetime is how long an order may be in flight, as servercommand sets it.
const orderLifetime = 500 * time.Millisecond

// Guards against calls to the platform and to engines that wait for the kernel's next retransmission after a silence of the
// network, instead of being made again.
func TestOutsideSystemsAreReachedSoonAfterASilence(t *testing.T) {
	t.Parallel()
	for index, length := range []time.Duration{40 * time.Second, 20 * time.Second, 10 * time.Second, 4 * time.Second, time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			own, other := fmt.Sprintf("127.0.%d.1", 110+index), fmt.Sprintf("127.0.%d.2", 110+index)
			calls := outsideCalls(t, own, startOutsideSystem(t, other))
			for name, call := range calls {
				require.True(t, call(), name)
			}
			hosts := []netip.Addr{netip.MustParseAddr(own), netip.MustParseAddr(other)}
			unblock, err := silentNetwork.Block(hosts, hosts)
			require.NoError(t, err)
			answeredAt := make(map[string]chan time.Time, len(calls))
			for name, call := range calls {
				answered := make(chan time.Time, 1)
				answeredAt[name] = answered
				go func() {
					for !call() {
					}
					answered <- time.Now()
				}()
			}
			time.Sleep(length)
			require.NoError(t, unblock())
			ended := time.Now()
			for name, answered := range answeredAt {
				took := (<-answered).Sub(ended)
				t.Logf("%s: answered after %v", name, took)
				require.LessOrEqual(t, took, contactBackAfter, name)
			}
		})
	}
}
