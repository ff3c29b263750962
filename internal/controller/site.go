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
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// Site holds what a controller that serves relays needs in addition to its settings. Such a controller knows only
// some of the other controllers, operators send it whole documents, and the back ends are read from an
// external list.
type Site struct {
	// Seeds, Bootstrap and FormationSize form the quorum; see consensus.Config.
	Seeds         []string
	Bootstrap     bool
	FormationSize int
	// ReloadedSeeds delivers the seeds after a reload of the settings; nil if they are never reloaded.
	ReloadedSeeds <-chan []string
	// ListingInterval is the interval at which the leader reads the list.
	ListingInterval time.Duration
	// ReadListing reads the first pages of the external list of back ends; 0 pages means the whole list.
	ReadListing func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	// Without is the set of mechanisms that are turned off to measure their effect; empty in production.
	Without mechanism.Set
	// PriorPrefillShare, OrderWait and OrderLifetime: see control.Config.
	PriorPrefillShare float64
	OrderWait         time.Duration
	OrderLifetime     time.Duration
	// OrderStage orders an engine into a stage. The error gives the reason if the outcome is not
	// control.StageAccepted.
	OrderStage func(ctx context.Context, client *http.Client, order StageOrder) (StageResult, error)
	// Usage, DutyInterval and DutyLifetime: see control.Config.
	Usage        usage.Config
	DutyInterval time.Duration
	DutyLifetime time.Duration
	// ReportUsage reports the counts of a window to the platform; nil if usage is not reported. The error
	// gives the reason if the outcome is not duty.Accepted.
	ReportUsage func(ctx context.Context, client *http.Client, report UsageReport) (duty.Outcome, error)
	// ReadServices: see control.Config. OrderReplicas orders replicas. Both are set if controllers decide the number of
	// replicas. The error of OrderReplicas gives the reason if the outcome is not duty.Accepted.
	ReadServices func(content []byte) ([]serving.Service, error)
	// NamedServices and OnDemandShare: see control.Config.
	NamedServices func(content []byte) []string
	OnDemandShare float64
	OrderReplicas func(ctx context.Context, client *http.Client, order ReplicaOrder) (duty.Outcome, error)
	// OperatorListen is the IP:port for operators.
	OperatorListen string
	// OperatorHandler returns the handler that serves operators from the store.
	OperatorHandler func(store DocumentStore) http.Handler
}

// UsageReport is the usage of tenants in a window.
type UsageReport struct {
	Window usage.Window
	Counts usage.Counts
	// Holder and Fence identify the reporting leader and its fencing token.
	Holder string
	Fence  uint64
}

// ReplicaOrder sets the number of replicas that a group should have.
type ReplicaOrder struct {
	Group   replicaplan.Group
	Desired int
	// Holder and Fence identify the ordering leader and its fencing token.
	Holder string
	Fence  uint64
}

// StageOrder is one order to an engine.
type StageOrder struct {
	Engine serving.BackEnd
	Stage  serving.Stage
	// Holder and Fence identify the ordering leader and its fencing token.
	Holder string
	Fence  uint64
}

// StageResult is the outcome of a StageOrder and the backpressure directives in the engine's answer.
type StageResult struct {
	Outcome    control.StageOutcome
	Directives backpressure.Directives
}

// forwardSeeds passes reloaded seeds to the Core until the context ends.
func (c *controller) forwardSeeds(ctx context.Context) {
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

// DocumentStore stores the operator's document. Its errors are control.NotLeaderError when the
// caller must use another controller, BadParameter for a document that is never accepted, and
// any other error when the call may or may not have had an effect.
type DocumentStore interface {
	// Put returns once the document with the content of a configuration, or one with a higher number, is committed.
	Put(ctx context.Context, configuration *serving.Configuration, content []byte) error
	// Read returns the newest document that was acknowledged.
	Read(ctx context.Context) ([]byte, error)
}

// documentCallTimeout limits a call to the store; clients give up before it.
const documentCallTimeout = 3 * time.Second

// documentStore is the DocumentStore of a running controller.
type documentStore struct {
	loop  *loop
	calls *calls
}

// Put implements DocumentStore.
func (d documentStore) Put(ctx context.Context, configuration *serving.Configuration, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, documentCallTimeout)
	defer cancel()
	routes := streamorigin.RoutesOf(configuration)
	_, err := d.calls.do(ctx, d.loop, func(call control.CallID) control.Input {
		return control.PutDocumentReceived{
			Call: call, Document: &v1.Document{Number: configuration.Number, Content: content}, Routes: routes,
		}
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

// listingReader reads the external list when the Core requests it.
type listingReader struct {
	read   func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	client *http.Client
	// requests holds the number of pages of the next read; 0 means the whole list.
	requests chan int
	deliver  func(context.Context, control.Input) error
	faults   listing.Faults
	log      *logring.Log
}

// listingReadTimeout limits each call that reads the list.
const listingReadTimeout = time.Second

func newListingReader(site *Site, dial dialing.Dial, deliver func(context.Context, control.Input) error, log *logring.Log) *listingReader {
	return &listingReader{
		read:     site.ReadListing,
		client:   &http.Client{Transport: newOutsideTransport(dial), Timeout: listingReadTimeout},
		requests: make(chan int, 1), deliver: deliver, log: log,
	}
}

// request requests a read of the first pages of the list; pages is their number, 0 for the whole list. It never blocks:
// a request is dropped while another one waits.
func (l *listingReader) request(pages int) {
	select {
	case l.requests <- pages:
	default:
	}
}

// run serves requests until the context ends.
func (l *listingReader) run(ctx context.Context) {
	for {
		var pages int
		select {
		case <-ctx.Done():
			return
		case pages = <-l.requests:
		}
		read, err := l.read(ctx, l.client, pages)
		if fault, isNew := l.faults.Update(read, err); isNew {
			l.log.Warn().Str(events.FieldEvent, string(events.ListingFaultChanged)).Str("fault", fault).Send()
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
