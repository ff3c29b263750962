package leaderloss

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// revisionPoll is the time between two reads of a process's revision and thus the resolution
// of the measured times.
const revisionPoll = 20 * time.Millisecond

// revisionTimeout limits one read of a process's revision.
const revisionTimeout = time.Second

// revisionReading is the time at which a process first reported a revision.
type revisionReading struct {
	at       time.Time
	revision uint64
}

// revisionHistory is the revisions that one process has applied over time. It is safe for concurrent use.
type revisionHistory struct {
	mutex    sync.Mutex
	readings []revisionReading
}

// follow polls a gateway's revision until the context ends and checks that it never
// decreases.
func (r *revisionHistory) follow(ctx context.Context, process *fleet.Process, recorder *recorder) {
	for ctx.Err() == nil {
		if revision, err := revisionOf(process); err == nil {
			recorder.addCheck(conditionRevert, r.addReading(process.Name, revision))
		}
		sleep(ctx, revisionPoll)
	}
}

// addReading adds a reading and returns a finding if the revision decreased.
func (r *revisionHistory) addReading(name string, revision uint64) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var last uint64
	if count := len(r.readings); count > 0 {
		last = r.readings[count-1].revision
	}
	if revision > last {
		r.readings = append(r.readings, revisionReading{at: time.Now(), revision: revision})
	}
	if revision < last {
		return fmt.Sprintf("%s had revision %d in force and went back to %d", name, last, revision)
	}
	return ""
}

// firstReached returns when the given revision, or a later one, was first read; the second value is false if none
// was.
func (r *revisionHistory) firstReached(revision uint64) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, reading := range r.readings {
		if reading.revision >= revision {
			return reading.at, true
		}
	}
	return time.Time{}, false
}

// revisionOf reads the revision that a process has applied from its metrics.
func revisionOf(process *fleet.Process) (uint64, error) {
	status, body, err := checkedconn.GetTimeout("http://"+process.AdminListen+metrics.PathMetrics, revisionTimeout)
	if err != nil || status != http.StatusOK {
		return 0, trace.Errorf("can't read the metrics of %s: status %d, error %v", process.Name, status, err)
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
	return 0, trace.NotFound("the metrics of %s contain no revision", process.Name)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
