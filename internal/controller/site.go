package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/listing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/replicaplan"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// Site is what a controller needs beside its settings where it serves relays: only some
// controllers are known, operators send whole documents, and an outside list tells the
// back ends.
type Site struct {
	// Seeds, Bootstrap and FormationSize form the quorum; see consensus.Config.
	Seeds         []string
	Bootstrap     bool
	FormationSize int
	// ReloadedSeeds brings seeds that the settings name now; nil for none.
	ReloadedSeeds <-chan []string
	// ListingInterval is the time between the leader's readings of the list.
	ListingInterval time.Duration
	// ReadListing reads so many pages of the outside list of back ends; 0 pages are all.
	ReadListing func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	// Without are mechanisms that are left out; none for users.
	Without mechanism.Set
	// PriorPrefillShare, OrderWait and OrderLifetime: see control.Config.
	PriorPrefillShare float64
	OrderWait         time.Duration
	OrderLifetime     time.Duration
	// OrderStage orders an engine into a role. The error tells why the outcome is not
	// control.StageAccepted.
	OrderStage func(ctx context.Context, client *http.Client, order StageOrder) (StageResult, error)
	// Usage, DutyInterval and DutyLifetime: see control.Config.
	Usage        usage.Config
	DutyInterval time.Duration
	DutyLifetime time.Duration
	// ReportUsage tells the platform the counts of a window; nil where nobody wants them. The error
	// tells why the outcome is not duty.Accepted.
	ReportUsage func(ctx context.Context, client *http.Client, report UsageReport) (duty.Outcome, error)
	// ReadConfiguration and OrderReplicas are set where the number of replicas is ours to order: one
	// reads the operator's document, the other orders replicas. The error tells why the outcome is
	// not duty.Accepted.
	ReadConfiguration func(content []byte) (serving.Configuration, error)
	// NamedServices and OnDemandShare: see control.Config.
	NamedServices func(content []byte) []string
	OnDemandShare float64
	OrderReplicas func(ctx context.Context, client *http.Client, order ReplicaOrder) (duty.Outcome, error)
	// OperatorListen is the IP:port for operators.
	OperatorListen string
	// OperatorHandler answers operators from the store.
	OperatorHandler func(store DocumentStore) http.Handler
}

// UsageReport is what tenants used in a window.
type UsageReport struct {
	Window usage.Window
	Counts usage.Counts
	// Holder and Fence say who tells.
	Holder string
	Fence  uint64
}

// ReplicaOrder orders how many replicas a group has.
type ReplicaOrder struct {
	Group   replicaplan.Group
	Desired int
	// Holder and Fence say who orders.
	Holder string
	Fence  uint64
}

// StageOrder is one order to an engine.
type StageOrder struct {
	Engine serving.BackEnd
	Stage  serving.Stage
	// Holder and Fence say who orders.
	Holder string
	Fence  uint64
}

// StageResult is what became of a StageOrder, and what the engine asked for in its answer.
type StageResult struct {
	Outcome    control.StageOutcome
	Directives backpressure.Directives
}

// takeSeeds hands seeds that were read again to the Core until the context ends.
func (c *controller) takeSeeds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case seeds := <-c.site.ReloadedSeeds:
			if c.loop.send(ctx, control.SeedsChanged{Seeds: seeds}) != nil {
				return
			}
		}
	}
}

// DocumentStore keeps the operator's document. Errors are control.NotLeaderError when
// another controller must be asked, bad parameters for documents that are never taken, and
// anything else when it is not known whether the call had an effect.
type DocumentStore interface {
	// Put returns once the document, or one with a higher number, is committed.
	Put(ctx context.Context, number uint64, content []byte) error
	// Read returns the newest document that was acknowledged.
	Read(ctx context.Context) ([]byte, error)
}

// documentCallTimeout ends a call whose answer no one waits for any more.
const documentCallTimeout = 3 * time.Second

// documentStore is the DocumentStore of a running controller.
type documentStore struct {
	loop  *loop
	calls *calls
}

// Put implements DocumentStore.
func (d documentStore) Put(ctx context.Context, number uint64, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, documentCallTimeout)
	defer cancel()
	_, err := d.calls.do(ctx, d.loop, func(call control.CallID) control.Input {
		return control.PutDocumentReceived{Call: call, Document: &v1.Document{Number: number, Content: content}}
	})
	return trace.Wrap(err)
}

// Read implements DocumentStore.
func (d documentStore) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, documentCallTimeout)
	defer cancel()
	message, err := d.calls.do(ctx, d.loop, func(call control.CallID) control.Input {
		return control.ReadDocumentReceived{Call: call}
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	document := message.(*v1.Document)
	if document.GetNumber() == 0 {
		return nil, trace.ConnectionProblem(nil, "no configuration has been sent yet")
	}
	return document.GetContent(), nil
}

// listingReader reads the outside list whenever the Core asks for it.
type listingReader struct {
	read   func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	client *http.Client
	// wanted holds how many pages to read.
	wanted  chan int
	deliver func(context.Context, control.Input) error
	faults  listing.Faults
	log     *logring.Log
}

// listingReadTimeout bounds one reading of the list.
const listingReadTimeout = time.Second

func newListingReader(site *Site, dial dialing.Dial, deliver func(context.Context, control.Input) error, log *logring.Log) *listingReader {
	return &listingReader{
		read:   site.ReadListing,
		client: &http.Client{Transport: &http.Transport{DialContext: dial}, Timeout: listingReadTimeout},
		wanted: make(chan int, 1), deliver: deliver, log: log,
	}
}

// request asks for a reading of so many pages, 0 for all; it never blocks.
func (l *listingReader) request(pages int) {
	select {
	case l.wanted <- pages:
	default:
	}
}

// run reads until the context ends.
func (l *listingReader) run(ctx context.Context) {
	for {
		var pages int
		select {
		case <-ctx.Done():
			return
		case pages = <-l.wanted:
		}
		read, err := l.read(ctx, l.client, pages)
		if fault, isNews := l.faults.Update(read, err); isNews {
			l.log.Warn().Str(events.FieldEvent, string(events.ListingFault)).Str("fault", fault).Send()
		}
		received := control.ListingReceived{Failed: err != nil, Calls: read.Calls, Complete: read.Complete}
		for _, backEnd := range read.BackEnds {
			received.BackEnds = append(received.BackEnds, backEnd.ToProto())
		}
		if l.deliver(ctx, received) != nil {
			return
		}
	}
}
