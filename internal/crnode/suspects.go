package crnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crquarantine"
)

const (
	// quarantineInterval is the interval at which suspects expire and an exclusive run is published again.
	quarantineInterval = time.Second
	// exclusiveNoticeLife is the lifetime of the notice of an exclusive run; the notice is renewed while the run lasts.
	exclusiveNoticeLife = 3 * time.Second
	// exclusiveKey is the key prefix of the notice of a gate that reserves its server for exclusive runs. The node's name
	// follows.
	exclusiveKey = "exclusive/"
	// suspectKey is the key prefix of the notice of one suspect. The fingerprint follows.
	suspectKey = "suspect/"
)

// publishSuspects publishes suspects to the other gates of the service and queues convictions. The caller holds crashMu.
func (n *Node) publishSuspects(entries []crquarantine.Entry, kind string) {
	for _, e := range entries {
		n.publishEntry(e)
		if e.State == crquarantine.StateConvicted {
			c := conviction{e.Fingerprint, kind}
			if e.Fingerprint == n.lastAbandoned.fingerprint {
				c = n.lastAbandoned
			}
			n.queueConviction(c)
		}
	}
}

func (n *Node) publishEntry(e crquarantine.Entry) {
	life := crquarantine.SuspectLifetime
	if e.State == crquarantine.StateConvicted {
		life = crquarantine.ConvictionLifetime
	}
	n.publish(suspectKey+e.Fingerprint.String(), e.Seq<<2|uint64(e.State), max(life-e.Age, time.Second), &crwire.QuarantineNotice{
		Server: n.Settings.Name, Fingerprint: e.Fingerprint[:], State: uint32(e.State), Seq: e.Seq, AgeMs: e.Age.Milliseconds(),
	})
}

func (n *Node) publish(key string, version uint64, life time.Duration, m *crwire.QuarantineNotice) {
	value, err := proto.Marshal(m)
	if err != nil {
		return
	}
	ok := n.directory.Publish(&crwire.DirectoryNotice{
		Service: n.Settings.Service, Key: key, Value: value, Version: version, ExpiresInMs: life.Milliseconds(),
	})
	if !ok {
		n.Counters.Add("notices_dropped", 1)
	}
}

// handleNotice merges a notice of another gate of the service into the quarantine.
func (n *Node) handleNotice(d *crwire.DirectoryNotice) {
	var m crwire.QuarantineNotice
	if d.GetService() != n.Settings.Service || proto.Unmarshal(d.GetValue(), &m) != nil || m.GetServer() == n.Settings.Name {
		return
	}
	report := crquarantine.Report{Server: m.GetServer(), Exclusive: m.GetExclusive()}
	if len(m.GetFingerprint()) == len(crquarantine.Fingerprint{}) {
		report.Entries = []crquarantine.Entry{{
			Fingerprint: crquarantine.Fingerprint(m.GetFingerprint()), State: crquarantine.State(m.GetState()), Seq: m.GetSeq(),
			Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		}}
	}
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	n.quarantine.Merge(time.Now(), report)
}

// quarantineLoop expires suspects and publishes exclusive runs and changed suspects.
func (n *Node) quarantineLoop(ctx context.Context) {
	t := time.NewTicker(quarantineInterval)
	defer t.Stop()
	published := map[crquarantine.Fingerprint]uint64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.publishQuarantine(time.Now(), published)
		}
	}
}

// publishQuarantine publishes the entries that differ from the published versions, and an exclusive run at each call.
func (n *Node) publishQuarantine(now time.Time, published map[crquarantine.Fingerprint]uint64) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	n.quarantine.Expire(now)
	r := n.quarantine.Report(now)
	if r.Exclusive {
		n.publish(exclusiveKey+n.Settings.Name, uint64(now.UnixMilli()), exclusiveNoticeLife,
			&crwire.QuarantineNotice{Server: n.Settings.Name, Exclusive: true})
	}
	known := make(map[crquarantine.Fingerprint]bool, len(r.Entries))
	for _, e := range r.Entries {
		known[e.Fingerprint] = true
		if version := e.Seq<<2 | uint64(e.State); published[e.Fingerprint] != version {
			published[e.Fingerprint] = version
			n.publishEntry(e)
		}
	}
	for f := range published {
		if !known[f] {
			delete(published, f)
		}
	}
}

// liftConviction removes a conviction that an operator lifted.
func (n *Node) liftConviction(fingerprint string) {
	f, err := crquarantine.ParseFingerprint(fingerprint)
	if err != nil {
		return
	}
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	n.quarantine.Lift(time.Now(), f)
}

// conviction is a request that is to be recorded as convicted, that is, as one that crashes backend servers.
type conviction struct {
	fingerprint crquarantine.Fingerprint
	kind        string
}

// queueConviction queues a conviction, which convictLoop sends to a control instance.
func (n *Node) queueConviction(c conviction) {
	n.Counters.Add("convictions", 1)
	_ = level.Info(n.Logger).Log("msg", "request convicted", "fingerprint", c.fingerprint, "kind", c.kind)
	n.convictions.Push(c)
}

// convictLoop sends each conviction until it is accepted or ctx ends.
func (n *Node) convictLoop(ctx context.Context) {
	for {
		c, err := n.convictions.Pop(ctx)
		if err != nil {
			return
		}
		for n.sendConviction(ctx, c) != nil && ctx.Err() == nil {
			n.Counters.Add("convictions_retried", 1)
			select {
			case <-ctx.Done():
			case <-time.After(quarantineInterval):
			}
		}
	}
}

func (n *Node) sendConviction(ctx context.Context, c conviction) error {
	s, err := n.controlSession(ctx)
	if err != nil {
		return err
	}
	_, err = crwire.Call[crwire.ConvictResponse](ctx, s, MethodConvict, &crwire.ConvictRequest{
		Fingerprint: c.fingerprint.String(), Service: n.Settings.Service, Kind: c.kind,
	})
	return err
}
