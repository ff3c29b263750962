package servercommand

import (
	"context"
	"net/http"

	"github.com/hazelpitch/hazelpitch/internal/controller"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/relay"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// siteFleet is the fleet name of every site: each site is a separate fleet.
const siteFleet = "site"

// Site holds the functions by which relays and their controllers speak the protocols of clients, back ends, operators and
// the platform.
type Site struct {
	Dialect relay.Dialect
	// ReadListing reads the first pages of the list of back ends at an address; pages is their number, 0 means all.
	ReadListing func(ctx context.Context, client *http.Client, address string, pages int) (serving.Listing, error)
	// ReadCache reads the state of an engine's prefix cache.
	ReadCache func(ctx context.Context, client *http.Client, engine serving.BackEnd) (serving.CacheReport, error)
	// ProbeLoad asks an engine for its load by a health check at a path.
	ProbeLoad func(ctx context.Context, client *http.Client, engine serving.BackEnd, path string) (relay.LoadProbe, error)
	// RelayFeatures returns the optional features of relays that the contracts of a deployment call for.
	RelayFeatures func(contracts []string) relay.Features
	// OrderStage orders an engine to serve in another stage.
	OrderStage func(ctx context.Context, client *http.Client, order controller.StageOrder) (controller.StageResult, error)
	// Duties parses the names of duties.
	Duties func(names []string) Duties
	// ReportUsage reports the tenants' usage in a window to the platform at an address.
	ReportUsage func(ctx context.Context, client *http.Client, address string, report controller.UsageReport) (duty.Outcome, error)
	// OrderReplicas orders replicas from the platform at an address.
	OrderReplicas func(ctx context.Context, client *http.Client, address string, order controller.ReplicaOrder) (duty.Outcome, error)
	// ReadServices returns the services of the operator's document, without parsing the rest.
	ReadServices func(content []byte) ([]serving.Service, error)
	// NamedServices returns the services that the operator's document names, without parsing the rest.
	NamedServices func(content []byte) []string
	// OperatorHandler serves operators; port is the operator port of every controller.
	OperatorHandler func(store controller.DocumentStore, port string) http.Handler
}

// Duties says which duties are enabled in a deployment. A duty is a call to the platform that only one controller may make
// at a time.
type Duties struct {
	// Usage enables counting and reporting the usage of tenants.
	Usage bool
	// Replicas enables ordering replicas from the platform.
	Replicas bool
}

// listingReaderAt returns a reader of the list at the address.
func (s Site) listingReaderAt(address string) func(context.Context, *http.Client, int) (serving.Listing, error) {
	return func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error) {
		return s.ReadListing(ctx, client, address, pages)
	}
}

// replicaOrdererAt returns a function that orders replicas from the platform at the address.
func (s Site) replicaOrdererAt(address string) func(context.Context, *http.Client, controller.ReplicaOrder) (duty.Outcome, error) {
	return func(ctx context.Context, client *http.Client, order controller.ReplicaOrder) (duty.Outcome, error) {
		return s.OrderReplicas(ctx, client, address, order)
	}
}

// usageReporterAt returns a function that reports the tenants' usage to the platform at the address.
func (s Site) usageReporterAt(address string) func(context.Context, *http.Client, controller.UsageReport) (duty.Outcome, error) {
	return func(ctx context.Context, client *http.Client, report controller.UsageReport) (duty.Outcome, error) {
		return s.ReportUsage(ctx, client, address, report)
	}
}
