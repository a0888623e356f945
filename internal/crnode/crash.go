package crnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
)

// crashRetryAfter leaves time for the suspects of a crash to reach the other gates of the service.
const crashRetryAfter = time.Second

// executeWithQuarantine executes the call unless its fingerprint is quarantined. A suspect, a request that may have
// crashed a backend server, is executed alone.
func (n *Node) executeWithQuarantine(ctx context.Context, r *run) answer {
	f := crquarantine.FingerprintOf(r.req.GetService(), r.req.GetKind(), r.req.GetBody())
	if n.Policy != Adaptive {
		return n.execute(ctx, r)
	}
	if a, ok := n.admitByQuarantine(f); !ok {
		return a
	}
	a := n.execute(ctx, r)
	if (a.code == crcode.AnswerLost || a.code == crcode.AnswerTruncated) && n.detectCrash(ctx, r.backend, r.req.GetKind()) {
		return answer{code: crcode.ServerDied, retryAfter: crashRetryAfter}
	}
	n.reportToQuarantine(f, r.req.GetKind(), a)
	if a.code == crcode.NoServer {
		n.checkRefusingServer(ctx, r.backend)
	}
	return a
}

// admitByQuarantine asks the quarantine whether a request with the fingerprint may run now.
func (n *Node) admitByQuarantine(f crquarantine.Fingerprint) (answer, bool) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	now := time.Now()
	if n.view.Convicted(f.String(), now) {
		n.Counters.Add("quarantine_refused", 1)
		return refusal(crcode.Quarantined, "fingerprint "+f.String()), false
	}
	switch n.quarantine.Started(now, f) {
	case crquarantine.Admitted:
		return answer{}, true
	case crquarantine.Refused:
		n.Counters.Add("quarantine_refused", 1)
		return refusal(crcode.Quarantined, "fingerprint "+f.String()), false
	}
	n.Counters.Add("quarantine_waits", 1)
	return answer{code: crcode.Overloaded, detail: "a request that may crash servers runs alone", retryAfter: crashRetryAfter}, false
}

// reportToQuarantine reports a finished run whose backend server is alive. Only a complete answer clears a suspect, since
// the backend server may still work on a request that was cancelled or ran out of time.
func (n *Node) reportToQuarantine(f crquarantine.Fingerprint, kind string, a answer) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	switch a.code {
	case crcode.OK:
		n.quarantine.Finished(time.Now(), f)
	case crcode.DeadlineRunning, crcode.CancelledRun:
		n.quarantine.Abandoned(time.Now(), f)
		n.lastAbandoned = conviction{f, kind}
	default:
		n.quarantine.Cancelled(f)
	}
}

// detectCrash reports whether the backend server instance is dead. The first caller that finds it dead makes all requests
// that it ran suspects. kind is the request kind of the run that noticed; it is convicted when it ran alone.
func (n *Node) detectCrash(ctx context.Context, ann Announcement, kind string) bool {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	if n.crashedInstance == ann.Instance {
		return true
	}
	last, _ := n.lease.current(time.Now())
	if last.Instance != ann.Instance {
		// Another instance replaced this one; the requests of the new instance are not suspects.
		return true
	}
	if acceptsConnections(context.WithoutCancel(ctx), ann.Address) {
		return false
	}
	n.recordCrashLocked(ann, kind)
	return true
}

// checkRefusingServer treats a backend server as crashed when it refuses connections and has not announced that it
// leaves. The request that found this did not reach the server, so it is no suspect.
func (n *Node) checkRefusingServer(ctx context.Context, ann Announcement) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	last, _ := n.lease.current(time.Now())
	if n.crashedInstance == ann.Instance || last.Instance != ann.Instance || last.State == StateLeaving {
		return
	}
	if refusesConnections(context.WithoutCancel(ctx), ann.Address) {
		n.recordCrashLocked(ann, "")
	}
}

// recordCrashLocked makes suspects of all requests that the dead backend server instance ran. The caller holds crashMu.
func (n *Node) recordCrashLocked(ann Announcement, kind string) {
	n.crashedInstance = ann.Instance
	n.lease.end(ann.Instance)
	n.Counters.Add("server_crashes", 1)
	entries := n.quarantine.Crashed(time.Now())
	_ = level.Info(n.Logger).Log("msg", "backend server died", "instance", ann.Instance, "suspects", len(entries))
	n.publishSuspects(entries, kind)
}

// checkReplacedInstance treats a new instance as evidence that the previous one crashed, unless that one was leaving.
func (n *Node) checkReplacedInstance(before, now Announcement) {
	if before.Instance == "" || before.Instance == now.Instance || before.State == StateLeaving {
		return
	}
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	if n.crashedInstance != before.Instance {
		n.recordCrashLocked(before, "")
	}
}
