package servedversions

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// manyRoutes returns 10,000 routes of as many prefixes, at 330 hosts, that lead to a service.
func manyRoutes(service string) streamorigin.Routes {
	routes := streamorigin.Routes{}
	for number := range 10_000 {
		route := streamorigin.Route{Host: fmt.Sprintf("host%d.example", number%330), Prefix: fmt.Sprintf("/prefix%d/", number)}
		routes[route] = map[string]bool{service: true}
	}
	return routes
}

// BenchmarkDocumentOfManyRoutes measures what a document that moves all of 10,000 routes costs the leader's loop, and the log.
func BenchmarkDocumentOfManyRoutes(b *testing.B) {
	former, next := manyRoutes("service1"), manyRoutes("service2")
	ledger, size := NewLedger(0, nil, true), 0
	for index := 0; b.Loop(); index++ {
		now := time.Duration(index) * time.Second
		ledger.ChangeRoutes(now, former.ChangedTo(next))
		content, err := proto.Marshal(RoutesToWire(next))
		if err != nil {
			b.Fatal(err)
		}
		size = len(content) + proto.Size(ledger.Record(now, 1))
	}
	b.ReportMetric(float64(size), "bytes/op")
}
