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
	// quarantineInterval is how often suspects expire and an exclusive run is announced again.
	quarantineInterval = time.Second
	// exclusiveNoticeLife ends the notice of an exclusive run that is not renewed.
	exclusiveNoticeLife = 3 * time.Second
	// exclusiveKey is the notice of a gate that gives its server to exclusive runs; the node's name follows.
	exclusiveKey = "exclusive/"
	// suspectKey is the notice of one fingerprint, which follows.
	suspectKey = "suspect/"
)

// publishSuspects tells the other gates of the service; the caller holds crashMu.
func (n *Node) publishSuspects(entries []crquarantine.Entry, kind string) {
	for _, e := range entries {
		n.publishEntry(e)
		if e.State == crquarantine.Sentenced {
			c := conviction{e.Fingerprint, kind}
			if e.Fingerprint == n.abandoned.fingerprint {
				c = n.abandoned
			}
			n.convict(c)
		}
	}
}

func (n *Node) publishEntry(e crquarantine.Entry) {
	life := crquarantine.SuspectLifetime
	if e.State == crquarantine.Sentenced {
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

// noticed takes a notice of another gate of the service.
func (n *Node) noticed(d *crwire.DirectoryNotice) {
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

// quarantineLoop expires suspects and announces exclusive runs and cleared suspects.
func (n *Node) quarantineLoop(ctx context.Context) {
	t := time.NewTicker(quarantineInterval)
	defer t.Stop()
	told := map[crquarantine.Fingerprint]uint64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.tellQuarantine(time.Now(), told)
		}
	}
}

// tellQuarantine publishes what changed since told, and an exclusive run at each turn.
func (n *Node) tellQuarantine(now time.Time, told map[crquarantine.Fingerprint]uint64) {
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
		if version := e.Seq<<2 | uint64(e.State); told[e.Fingerprint] != version {
			told[e.Fingerprint] = version
			n.publishEntry(e)
		}
	}
	for f := range told {
		if !known[f] {
			delete(told, f)
		}
	}
}

// lift ends a conviction that an operator lifted.
func (n *Node) lift(fingerprint string) {
	f, err := crquarantine.ParseFingerprint(fingerprint)
	if err != nil {
		return
	}
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	n.quarantine.Lift(time.Now(), f)
}

// conviction is a request that is to be recorded as convicted.
type conviction struct {
	fingerprint crquarantine.Fingerprint
	kind        string
}

// convict asks the control instance in charge, in the background, to record a conviction.
func (n *Node) convict(c conviction) {
	n.Counters.Add("convictions", 1)
	_ = level.Info(n.Logger).Log("msg", "request convicted", "fingerprint", c.fingerprint, "kind", c.kind)
	n.convictions.Push(c)
}

// convictLoop sends convictions until they are accepted or ctx ends.
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
