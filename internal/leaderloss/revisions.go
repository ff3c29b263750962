package leaderloss

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// revisionPoll is the time between two looks at a process's revision: what the
// measured times are exact to.
const revisionPoll = 20 * time.Millisecond

// revisionTimeout ends a look at a process that does not answer.
const revisionTimeout = time.Second

// reading is the time at which a revision was first seen at one process.
type reading struct {
	at       time.Time
	revision uint64
}

// revisions is what one process had in force over time. It is safe for concurrent use.
type revisions struct {
	mutex    sync.Mutex
	readings []reading
}

// follow reads a gateway's revision until the context ends, and checks that it never
// falls.
func (r *revisions) follow(ctx context.Context, process *fleet.Process, recorder *recorder) {
	for ctx.Err() == nil {
		if revision, err := revisionOf(process); err == nil {
			recorder.checked(conditionRevert, r.take(process.Name, revision))
		}
		sleep(ctx, revisionPoll)
	}
}

// take adds a reading and returns a finding when the revision fell.
func (r *revisions) take(name string, revision uint64) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var last uint64
	if count := len(r.readings); count > 0 {
		last = r.readings[count-1].revision
	}
	if revision > last {
		r.readings = append(r.readings, reading{at: time.Now(), revision: revision})
	}
	if revision < last {
		return fmt.Sprintf("%s had revision %d in force and went back to %d", name, last, revision)
	}
	return ""
}

// reached returns when a revision, or a later one, was first seen.
func (r *revisions) reached(revision uint64) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, seen := range r.readings {
		if seen.revision >= revision {
			return seen.at, true
		}
	}
	return time.Time{}, false
}

// revisionOf reads the revision that a process has in force from its metrics.
func revisionOf(process *fleet.Process) (uint64, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+process.AdminListen+metrics.PathMetrics, revisionTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return 0, trace.Errorf("%s shows no metrics: %d %v", process.Name, status, err)
	}
	prefix := "hazelpitch_" + string(process.Role) + "_revision{"
	for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
		if !strings.HasPrefix(lines.Text(), prefix) {
			continue
		}
		fields := strings.Fields(lines.Text())
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		return uint64(value), trace.Wrap(err)
	}
	return 0, trace.NotFound("%s shows no revision", process.Name)
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
