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

// pageTime is the service time of a page service per request.
const pageTime = 5 * time.Millisecond

// engineRoles are the roles of a run's engines, assigned in turn.
var engineRoles = []enginecontract.Role{
	enginecontract.RoleMixed, enginecontract.RolePrefill, enginecontract.RoleDecode, enginecontract.RoleMixed, enginecontract.RoleDecode,
}

// backEnds are the engines and page services of a run.
type backEnds struct {
	engines []*engine.Engine
	pages   []*page.Service
}

// startBackEnds starts the stand-ins and returns them with their directory entries.
func startBackEnds(memoryNet *network, engines, pages int) (*backEnds, []*v1.BackEnd, error) {
	created := &backEnds{}
	var rows []*v1.BackEnd
	for number := range engines {
		name, address := fmt.Sprintf("engine-%d", number+1), engineHost(number)+":8100"
		opened, err := engine.Start(engine.Config{
			Name: name, Service: engineService, Zone: zone, Address: address, Model: model, Version: modelVersion,
			Role: engineRoles[number%len(engineRoles)], Profile: profile(), Listen: memoryNet.listen,
			Dial: func(to string) (net.Conn, error) { return memoryNet.dial(engineHost(number), to) },
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
			Name: name, Service: pageService, Zone: zone, Address: address, ServiceTime: pageTime, Listen: memoryNet.listen,
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

// profile returns an engine profile with one token per 20 ms, slow enough that faults hit open streams.
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

// clear removes all faults and restarts the back ends that are down.
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

// kvTransfers returns the number of KV caches that engines imported.
func (b *backEnds) kvTransfers() int {
	sum := 0
	for _, each := range b.engines {
		sum += each.Runs().Totals.Imported
	}
	return sum
}

// executions counts the executions by the marks of the requests.
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
