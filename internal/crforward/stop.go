package crforward

import (
	"context"
	"net/http"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Timings of a graceful stop, as fractions of the time until the process is killed.
const (
	// notReadyPart is how long the node reports that it is not ready but still accepts requests. Clients notice after
	// two readiness checks a second apart.
	notReadyPart = 0.45
	// cutOffPart is when requests that still run are cut off; a server that takes longer is not waited for.
	cutOffPart = 0.86
	// gateCloseLead is how long before the end of that time the gate closes. The directory informs all nodes within a
	// fifth of a second; until then a refused call costs only one more hop.
	gateCloseLead = 400 * time.Millisecond
	// giveUpDelay is how long after the cut-off the requests that are left are given up. It exceeds peerAnswerSlack, so
	// that servers end the runs whose deadline was the cut-off themselves.
	giveUpDelay = 150 * time.Millisecond
	// lastAnswersTimeout limits the time after the cut-off in which the entrance writes the last answers.
	lastAnswersTimeout = 300 * time.Millisecond
	// taskEndTimeout limits the wait for background tasks after the last request.
	taskEndTimeout = 300 * time.Millisecond
)

// lateLatencyFactor is how many times its mean latency must be left before the cut-off for the entrance to accept a
// request late in a stop.
const lateLatencyFactor = 4

// stopPhase is a phase of a graceful stop.
type stopPhase uint8

const (
	// stopGrace accepts all requests, because clients have not noticed the stop yet.
	stopGrace stopPhase = iota
	// stopFinishing accepts only requests that can be answered before the cut-off.
	stopFinishing
)

// stopState is the state of a graceful stop; cutOff is when requests that still run are cut off.
type stopState struct {
	phase  stopPhase
	cutOff time.Time
}

// limit reports whether a call may start, and shortens its deadline to the cut-off, so that its server ends it in time.
// usual is the mean latency of its route, zero if unknown. A nil state is that of a node that runs.
func (s *stopState) limit(now time.Time, c *call, usual time.Duration) bool {
	if s == nil || !c.deadline.After(s.cutOff) {
		return true
	}
	if s.phase == stopFinishing && (usual == 0 || s.cutOff.Sub(now) < lateLatencyFactor*usual) {
		return false
	}
	c.deadline = s.cutOff
	if c.due.After(s.cutOff) {
		c.due = s.cutOff
	}
	return true
}

// refusal is the reply to a request that cannot be answered before the node stops. A client of this instance finds no
// node before the process has ended.
func (s *stopState) refusal(now time.Time) *reply {
	r := failureReply(crcode.Stopping, "")
	r.retryAfter = s.cutOff.Add(lastAnswersTimeout).Sub(now)
	return r
}

// stop shuts the node down gracefully. The node reports at once that it is not ready, but accepts requests of clients
// that have not noticed yet. Its gate stays open nearly as long, because the server beside it keeps running. Then
// connections close as their requests finish. The inbound server closes before the entrance, because calls that run at
// the gate may still make calls through the entrance. The entrance has a time of its own for that, and accepts nothing
// in the meantime that it could not answer.
func (n *Node) stop(inbound, entrance *http.Server) {
	now := time.Now()
	cutOff := now.Add(time.Duration(float64(n.Settings.StopTimeout) * cutOffPart))
	notReadyTime := time.Duration(float64(n.Settings.StopTimeout) * notReadyPart)
	n.stopping.Store(&stopState{phase: stopGrace, cutOff: cutOff})
	n.Log.Emit(now, crevent.State, crevent.Stopping, crevent.KeyCount, n.inFlight.Load(), crevent.KeyLeft, n.Settings.StopTimeout)
	time.Sleep(notReadyTime - min(gateCloseLead, notReadyTime))
	n.gateClosed.Store(true)
	n.announce()
	time.Sleep(min(gateCloseLead, notReadyTime))
	n.stopping.Store(&stopState{phase: stopFinishing, cutOff: cutOff})
	timer := time.AfterFunc(time.Until(cutOff)+giveUpDelay, n.giveUp)
	defer timer.Stop()
	n.shutdown(inbound, "inbound", cutOff.Add(giveUpDelay))
	n.shutdown(entrance, "entrance", cutOff.Add(lastAnswersTimeout))
}

// shutdown closes a server as its requests finish, until the deadline.
func (n *Node) shutdown(s *http.Server, name string, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		n.Log.Emit(time.Now(), crevent.State, crevent.Cut, crevent.KeyCount, n.inFlight.Load(), crevent.KeyDetail, name, crevent.KeyError, err)
	}
}

// givenUpReply returns the reply to a call that was cancelled at the end of a stop.
func givenUpReply(r *reply) *reply {
	if r.code == crcode.Cancelled {
		return failureReply(crcode.Stopping, "")
	}
	return failureReply(crcode.AnswerLost, "cut off by a stop")
}
