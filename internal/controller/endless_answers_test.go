package controller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const (
	// endlessAnswerBytes is where an answer without end ends nevertheless, so that a reader without bounds fails.
	endlessAnswerBytes = 32 << 20
	// answerHeadBytes bounds what a controller reads of the head of an answer, engineAnswerBytes what it reads of an answer
	// of an engine: 512 polls and 32 orders may be under way, and a controller may use 280 MB.
	answerHeadBytes   = 128 << 10
	engineAnswerBytes = 256 << 10
	machineListBytes  = 9 << 20
	// answerTime bounds the time of an exchange.
	answerTime = 3 * time.Second
	// clientsEnd is the time by which all goroutines of unused HTTP clients have ended.
	clientsEnd = 10 * time.Minute
)

// endlessPeer is a system outside that answers requests without end.
type endlessPeer struct {
	head, repeated string
	// pause is the time before each repetition.
	pause time.Duration
	sent  atomic.Int64
}

// dial is a dialing.Dial to the peer.
func (e *endlessPeer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.serve(far)
	return near, nil
}

func (e *endlessPeer) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }() // the rest of the request
	for part := e.head; e.sent.Load() < endlessAnswerBytes; part = e.repeated {
		count, err := io.WriteString(conn, part)
		e.sent.Add(int64(count))
		if err != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

// endlessHeads are answers whose heads do not end.
func endlessHeads() map[string]*endlessPeer {
	block := func(line string) string { return strings.Repeat(line, 4<<10/len(line)) }
	return map[string]*endlessPeer{
		"header lines":         {head: "HTTP/1.1 200 OK\r\n", repeated: block("A: b\r\n")},
		"one header line":      {head: "HTTP/1.1 200 OK\r\nA: ", repeated: block("b")},
		"status line":          {head: "HTTP/1.1 200 ", repeated: block("O")},
		"interim responses":    {repeated: block("HTTP/1.1 103 Early Hints\r\n\r\n")},
		"slow interim answers": {repeated: "HTTP/1.1 103 Early Hints\r\n\r\n", pause: 50 * time.Millisecond},
		"slow header lines":    {head: "HTTP/1.1 200 OK\r\n", repeated: "A: b\r\n", pause: 50 * time.Millisecond},
	}
}

// endlessBodies are answers whose bodies do not end.
func endlessBodies() map[string]*endlessPeer {
	block := func(line string) string { return strings.Repeat(line, 4<<10/len(line)) }
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]*endlessPeer{
		"body until the end":    {head: "HTTP/1.1 200 OK\r\n\r\n{", repeated: block(" ")},
		"body of a long length": {head: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n{", repeated: block(" ")},
		"chunks":                {head: chunked, repeated: "400\r\n" + strings.Repeat(" ", 0x400) + "\r\n"},
		"chunk size":            {head: chunked, repeated: block("0")},
		"chunk extension":       {head: chunked + "1;", repeated: block("a")},
		"trailers":              {head: chunked + "1\r\n{\r\n0\r\n", repeated: block("A: b\r\n")},
		"slow chunks":           {head: chunked, repeated: "4\r\n    \r\n", pause: 50 * time.Millisecond},
	}
}

// Guards against answers without end of the platform or an engine, which every leader in turn reads until its memory is used up.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	log := logring.New("c1", settings.Log{RingEntries: 16})
	ignore := func(context.Context, control.Input) error { return nil }
	readHead := func(ctx context.Context, client *http.Client) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://platform/", nil)
		require.NoError(t, err)
		answer, err := client.Do(request)
		if err != nil {
			return err
		}
		return answer.Body.Close() // readers of the site bound the body
	}
	site := &Site{
		ReadListing: func(ctx context.Context, client *http.Client, _ int) (serving.Listing, error) {
			return serving.Listing{}, readHead(ctx, client)
		},
		OrderStage: func(ctx context.Context, client *http.Client, _ StageOrder) (StageResult, error) {
			return StageResult{}, readHead(ctx, client)
		},
		ReportUsage: func(ctx context.Context, client *http.Client, _ UsageReport) (duty.Outcome, error) {
			return duty.Lost, readHead(ctx, client)
		},
	}
	type reader struct {
		bytes  int64
		bodies bool
		read   func(ctx context.Context, peer *endlessPeer)
	}
	engine := func(output control.Output) func(context.Context, *endlessPeer) {
		return func(_ context.Context, peer *endlessPeer) {
			newEngines(peer.dial, ignore, func(string, bool) {}).exchange(output)
		}
	}
	for name, reader := range map[string]reader{
		"list": {answerHeadBytes, false, func(ctx context.Context, peer *endlessPeer) {
			reader := newListingReader(site, peer.dial, ignore, log)
			_, err := reader.read(ctx, reader.client, 0)
			require.Error(t, err)
		}},
		"stage order": {answerHeadBytes, false, func(ctx context.Context, peer *endlessPeer) {
			orderer := newStageOrderer(site, peer.dial, func() time.Duration { return 0 }, ignore, log)
			orderer.execute(ctx, control.ChangeStage{BackEnd: &v1.ListedBackEnd{Id: "e"}, NotAfter: 500 * time.Millisecond})
		}},
		"duty call": {answerHeadBytes, false, func(ctx context.Context, peer *endlessPeer) {
			caller := newDutyCaller(site, peer.dial, func() time.Duration { return 0 }, ignore, log)
			caller.execute(ctx, control.DeliverUsage{DutyCall: control.DutyCall{NotAfter: 500 * time.Millisecond}})
		}},
		"order to an engine": {engineAnswerBytes, true, engine(control.SendOrder{Engine: "e", Address: "engine:80"})},
		"fence of an engine": {engineAnswerBytes, true, engine(control.SendFence{Engine: "e", Address: "engine:80"})},
		"poll of an engine":  {engineAnswerBytes, true, engine(control.PollEngine{Engine: "e", Address: "engine:80"})},
		"machine list": {machineListBytes, true, func(_ context.Context, peer *endlessPeer) {
			require.Error(t, get(newExternalClient(peer.dial, maxMachineListBytes), "platform:80", enginecontract.PathMachines, &enginecontract.MachineList{}))
		}},
	} {
		answers := endlessHeads()
		if reader.bodies {
			for kind, answer := range endlessBodies() {
				answers[kind] = answer
			}
		}
		for kind, peer := range answers {
			t.Run(name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					started := time.Now()
					reader.read(t.Context(), peer)
					took := time.Since(started)
					time.Sleep(clientsEnd)
					require.LessOrEqual(t, took, answerTime)
					require.LessOrEqual(t, peer.sent.Load(), reader.bytes)
				})
			})
		}
	}
}
