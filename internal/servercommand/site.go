package servercommand

import (
	"context"
	"net/http"

	"github.com/hazelpitch/hazelpitch/internal/controller"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/relay"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// siteFleet is the fleet's name on a site: each site is one fleet of its own.
const siteFleet = "site"

// Site is how relays and their controllers speak with clients, back ends, operators and
// the outside list.
type Site struct {
	Dialect relay.Dialect
	// ReadListing reads so many pages of the list of back ends at an address; 0 pages are all.
	ReadListing func(ctx context.Context, client *http.Client, address string, pages int) (serving.Listing, error)
	// ReadCache reads what an engine has cached.
	ReadCache func(ctx context.Context, client *http.Client, engine serving.BackEnd) (serving.CacheReport, error)
	// OrderStage orders an engine into a role.
	OrderStage func(ctx context.Context, client *http.Client, order controller.StageOrder) (controller.StageResult, error)
	// Duties reads the names of the platform's singleton duties.
	Duties func(names []string) Duties
	// ReportUsage tells the platform at an address what tenants used in a window.
	ReportUsage func(ctx context.Context, client *http.Client, address string, report controller.UsageReport) (duty.Outcome, error)
	// OrderReplicas orders replicas from the platform at an address.
	OrderReplicas func(ctx context.Context, client *http.Client, address string, order controller.ReplicaOrder) (duty.Outcome, error)
	// ReadConfiguration reads the operator's document.
	ReadConfiguration func(content []byte) (serving.Configuration, error)
	// NamedServices returns the services that the operator's document names, without reading the rest.
	NamedServices func(content []byte) []string
	// OperatorHandler answers operators; port is the one at which every controller does.
	OperatorHandler func(store controller.DocumentStore, port string) http.Handler
}

// Duties are the platform's singleton duties that a deployment asks for.
type Duties struct {
	// Usage tells that what tenants use is counted and told.
	Usage bool
	// Replicas tells that the number of replicas is ours to order.
	Replicas bool
}

// listingAt returns a reader of the list at the address.
func (s Site) listingAt(address string) func(context.Context, *http.Client, int) (serving.Listing, error) {
	return func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error) {
		return s.ReadListing(ctx, client, address, pages)
	}
}

// orderingReplicasAt returns what orders replicas from the platform at the address.
func (s Site) orderingReplicasAt(address string) func(context.Context, *http.Client, controller.ReplicaOrder) (duty.Outcome, error) {
	return func(ctx context.Context, client *http.Client, order controller.ReplicaOrder) (duty.Outcome, error) {
		return s.OrderReplicas(ctx, client, address, order)
	}
}

// reportingUsageAt returns what tells the platform at the address what tenants used.
func (s Site) reportingUsageAt(address string) func(context.Context, *http.Client, controller.UsageReport) (duty.Outcome, error) {
	return func(ctx context.Context, client *http.Client, report controller.UsageReport) (duty.Outcome, error) {
		return s.ReportUsage(ctx, client, address, report)
	}
}
