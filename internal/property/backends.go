package property

import (
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
)

// pageTime is how long a page service takes for one request.
const pageTime = 5 * time.Millisecond

// engineRoles are the roles of a run's engines, in turn.
var engineRoles = []enginecontract.Role{
	enginecontract.RoleMixed, enginecontract.RolePrefill, enginecontract.RoleDecode, enginecontract.RoleMixed, enginecontract.RoleDecode,
}

// backEnds are the engines and page services of a run.
type backEnds struct {
	engines []*engine.Engine
	pages   []*page.Service
}

// startBackEnds starts the stand-ins and returns their rows of the directory.
func startBackEnds(joined *network, engines, pages int) (*backEnds, []*v1.BackEnd, error) {
	created := &backEnds{}
	var rows []*v1.BackEnd
	for number := range engines {
		name, address := fmt.Sprintf("engine-%d", number+1), engineHost(number)+":8100"
		opened, err := engine.Start(engine.Config{
			Name: name, Service: engineService, Zone: zone, Address: address, Model: model, Version: modelVersion,
			Role: engineRoles[number%len(engineRoles)], Profile: profile(), Listen: joined.listen,
			Dial: func(to string) (net.Conn, error) { return joined.dial(engineHost(number), to) },
		})
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		created.engines = append(created.engines, opened)
		rows = append(rows, &v1.BackEnd{
			Name: name, Service: engineService, Zone: zone, Address: address, Role: engineroles.FromContract(engineRoles[number%len(engineRoles)]), Model: model,
			Version: modelVersion, State: v1.BackEndState_BACK_END_STATE_SERVING,
		})
	}
	for number := range pages {
		name, address := fmt.Sprintf("page-%d", number+1), fmt.Sprintf("10.3.0.%d:8200", number+1)
		opened, err := page.Start(page.Config{
			Name: name, Service: pageService, Zone: zone, Address: address, ServiceTime: pageTime, Listen: joined.listen,
		})
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		created.pages = append(created.pages, opened)
		rows = append(rows, &v1.BackEnd{
			Name: name, Service: pageService, Zone: zone, Address: address, State: v1.BackEndState_BACK_END_STATE_SERVING,
		})
	}
	return created, rows, nil
}

func engineHost(number int) string { return fmt.Sprintf("10.2.0.%d", number+1) }

// profile writes a token each 20 ms, so that faults meet streams.
func profile() enginemodel.Profile {
	chosen := enginemodel.DefaultProfile()
	chosen.PrefillTokensPerSecond = 1e5
	chosen.StepBase = 20 * time.Millisecond
	return chosen
}

func (b *backEnds) close() {
	for _, each := range b.engines {
		each.Close()
	}
	for _, each := range b.pages {
		each.Close()
	}
}

// clear switches every fault off and starts what is down.
func (b *backEnds) clear() error {
	for _, each := range b.engines {
		each.Faults().Replace(nil)
		if err := each.Restart(); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, each := range b.pages {
		each.Faults().Replace(nil)
		if err := each.Restart(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// kvTransfers counts the caches that engines took over.
func (b *backEnds) kvTransfers() int {
	sum := 0
	for _, each := range b.engines {
		sum += each.Runs().Totals.Imported
	}
	return sum
}

// executions counts what ran, by the marks of requests.
func (b *backEnds) executions() map[string]int {
	counts := map[string]int{}
	for _, each := range b.engines {
		for prompt, run := range each.Runs().Prompts {
			counts[prompt] += run.Started
		}
	}
	for _, each := range b.pages {
		for key, count := range each.Runs().Executions {
			counts[key] += count
		}
	}
	return counts
}
