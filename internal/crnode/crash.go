package crnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
)

// crashRetryAfter gives the suspects of a crash time to reach the other gates of the service.
const crashRetryAfter = time.Second

// isolated runs the call unless its fingerprint crashed backend servers; a suspect runs alone.
func (n *Node) isolated(ctx context.Context, r *run) answer {
	f := crquarantine.FingerprintOf(r.req.GetService(), r.req.GetKind(), r.req.GetBody())
	if n.Policy != Adaptive {
		return n.execute(ctx, r)
	}
	if a, ok := n.startRun(f); !ok {
		return a
	}
	a := n.execute(ctx, r)
	if a.code == crcode.AnswerLost && n.crashed(ctx, r.backend, r.req.GetKind()) {
		return answer{code: crcode.ServerDied, retryAfter: crashRetryAfter}
	}
	n.endRun(f, a)
	return a
}

// startRun asks the quarantine for leave to run.
func (n *Node) startRun(f crquarantine.Fingerprint) (answer, bool) {
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

// endRun ends a run after which the backend server is alive; only a whole answer clears a suspect, since the backend
// server may still work on a request that was cancelled or ran out of time.
func (n *Node) endRun(f crquarantine.Fingerprint, a answer) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	if a.code != crcode.OK {
		n.quarantine.Cancelled(f)
		return
	}
	n.quarantine.Finished(time.Now(), f)
}

// crashed finds out whether the backend server died, and if so makes suspects of all requests that it ran; kind is that
// of the run that noticed, which is the convicted one when it ran alone.
func (n *Node) crashed(ctx context.Context, ann Announcement, kind string) bool {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	if n.crashedInstance == ann.Instance {
		return true
	}
	if last, _ := n.lease.current(time.Now()); last.Instance == ann.Instance && alive(context.WithoutCancel(ctx), ann.Address) {
		return false
	}
	n.crashedInstance = ann.Instance
	n.lease.end(ann.Instance)
	n.Counters.Add("server_crashes", 1)
	entries := n.quarantine.Crashed(time.Now())
	_ = level.Info(n.Logger).Log("msg", "backend server died", "instance", ann.Instance, "suspects", len(entries))
	n.publishSuspects(entries, kind)
	return true
}
