package crspread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memSource is a Source that holds the committed configuration in memory.
type memSource struct {
	store     *store
	confirmed bool
}

func newSource() *memSource { return &memSource{store: newStore(true), confirmed: true} }

// put commits one entry at the next index; an empty value deletes the key.
func (m *memSource) put(key, service, value string) crconfig.Version {
	v := crconfig.Version{Epoch: 1, Index: m.store.version.Index + 1}
	m.store.put(&crwire.ConfigEntry{
		Key: key, Service: service, Version: v.Proto(), Value: []byte(value), Deleted: value == "",
	}, true)
	m.store.version = v
	return v
}

func (m *memSource) Version() crconfig.Version { return m.store.version }
func (m *memSource) Confirmed() bool           { return m.confirmed }
func (m *memSource) Changes(from crconfig.Version) Changes {
	c := Changes{To: m.store.version, Digest: m.store.totalDigest(), Full: from == (crconfig.Version{})}
	if !c.Full {
		c.Entries = m.store.appendDelta(nil, from, func(string) bool { return true })
		return c
	}
	for name := range m.store.sections {
		c.Entries = m.store.appendEntries(c.Entries, name)
	}
	return c
}

type linkEnd struct {
	name string
	link uint64
}

// sim runs several cores in simulated time. Each message takes 10 ms; the name of a core is also its address.
type sim struct {
	now   time.Time
	cores map[string]*Core
	views map[string]map[string]*crwire.ConfigEntry
	// dead holds the names of processes that don't respond. Only kill also closes their links.
	dead     map[string]bool
	peerEnds map[linkEnd]linkEnd
	lastLink uint64
	queue    []func()
	// filter, when set, returns how many times a message is delivered.
	filter func(from, to string, m proto.Message) int
	// refuse, when set, returns the error with which a view rejects an update, or nil.
	refuse func(name string, u Update) error
	// afterStep, when set, is called after each step.
	afterStep func()
}

func newSim() *sim {
	return &sim{
		now: time.Unix(1000, 0), cores: map[string]*Core{}, dead: map[string]bool{}, peerEnds: map[linkEnd]linkEnd{},
		views: map[string]map[string]*crwire.ConfigEntry{},
	}
}

func (s *sim) add(cfg Config) *Core {
	cfg.Address, cfg.Seed = cfg.Name, uint64(len(s.cores))
	s.cores[cfg.Name] = New(s.now, cfg)
	s.views[cfg.Name] = map[string]*crwire.ConfigEntry{}
	delete(s.dead, cfg.Name)
	return s.cores[cfg.Name]
}

// parentLinkBase is the lowest link number at the parent's end of a connection. Cores number the links to their parents
// themselves from 1, so the two ranges must not overlap.
const parentLinkBase = uint64(1) << 40

func (s *sim) perform(name string, outs []Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case OpenParent:
			s.open(name, o)
		case SendDown:
			s.send(linkEnd{name, o.Link}, o.Message)
		case SendUp:
			s.send(linkEnd{name, o.Link}, o.Message)
		case CloseChild:
			s.closeLink(linkEnd{name, o.Link})
		case CloseParent:
			s.closeLink(linkEnd{name, o.Link})
		case Update:
			s.perform(name, s.cores[name].UpdateResult(s.now, o, s.applyUpdate(name, o)))
		}
	}
}

func (s *sim) open(name string, o OpenParent) {
	s.queue = append(s.queue, func() {
		if s.dead[name] {
			return
		}
		if s.dead[o.Address] || s.cores[o.Address] == nil {
			s.perform(name, s.cores[name].ParentLost(s.now, o.Link))
			return
		}
		s.lastLink++
		child, parent := linkEnd{name, o.Link}, linkEnd{o.Address, parentLinkBase + s.lastLink}
		s.peerEnds[child], s.peerEnds[parent] = parent, child
		s.perform(o.Address, s.cores[o.Address].ChildJoin(s.now, parent.link, o.Join))
	})
}

func (s *sim) send(from linkEnd, m proto.Message) {
	to, ok := s.peerEnds[from]
	if !ok {
		return
	}
	times := 1
	if s.filter != nil {
		times = s.filter(from.name, to.name, m)
	}
	for range times {
		s.queue = append(s.queue, func() {
			// A message that was sent before its link was closed is still delivered.
			if s.dead[to.name] || s.dead[from.name] {
				return
			}
			switch m := proto.Clone(m).(type) {
			case *crwire.SpreadDown:
				s.perform(to.name, s.cores[to.name].ParentMessage(s.now, to.link, m))
			case *crwire.SpreadUp:
				s.perform(to.name, s.cores[to.name].ChildAck(s.now, to.link, m))
			}
		})
	}
}

func (s *sim) closeLink(a linkEnd) {
	b, ok := s.peerEnds[a]
	if !ok {
		return
	}
	delete(s.peerEnds, a)
	delete(s.peerEnds, b)
	s.queue = append(s.queue, func() {
		switch {
		case s.dead[b.name]:
		case b.link >= parentLinkBase:
			s.perform(b.name, s.cores[b.name].ChildLost(s.now, b.link))
		default:
			s.perform(b.name, s.cores[b.name].ParentLost(s.now, b.link))
		}
	})
}

// kill stops a process and closes its links.
func (s *sim) kill(name string) {
	s.dead[name] = true
	ends := []linkEnd{}
	for e := range s.peerEnds {
		if e.name == name {
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b linkEnd) int { return int(a.link) - int(b.link) })
	for _, e := range ends {
		s.closeLink(e)
	}
}

func (s *sim) applyUpdate(name string, u Update) error {
	if s.refuse != nil {
		if err := s.refuse(name, u); err != nil {
			return err
		}
	}
	view := s.views[name]
	for key, e := range view {
		if u.Full || slices.Contains(u.Replaced, e.GetService()) ||
			e.GetService() != "" && !slices.Contains(u.Services, e.GetService()) {
			delete(view, key)
		}
	}
	for _, e := range u.Entries {
		delete(view, e.GetKey())
		if !e.GetDeleted() {
			view[e.GetKey()] = e
		}
	}
	return nil
}

func (s *sim) step() {
	s.now = s.now.Add(10 * time.Millisecond)
	queue := s.queue
	s.queue = nil
	for _, f := range queue {
		f()
	}
	if s.now.UnixMilli()%50 == 0 {
		for _, name := range s.names() {
			s.perform(name, s.cores[name].Tick(s.now))
		}
	}
	if s.afterStep != nil {
		s.afterStep()
	}
}

// names returns the names of the running processes, sorted.
func (s *sim) names() []string {
	var out []string
	for name := range s.cores {
		if !s.dead[name] {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// waitFor steps the simulation until ok returns true, and fails the test if that takes longer than the given simulated
// time.
func (s *sim) waitFor(t testing.TB, within time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := s.now
	for !ok() {
		if s.now.Sub(start) > within {
			for _, name := range s.names() {
				if st := s.cores[name].Status(s.now); !st.Confirmed || len(st.Pending) > 0 || st.Root {
					t.Logf("%+v", st)
				}
			}
			t.Fatalf("not within %v: %s", within, what)
		}
		s.step()
	}
	return s.now.Sub(start)
}

func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// inForce returns a condition: every running process has the version, confirmed and with its whole subscription.
func (s *sim) inForce(v crconfig.Version) func() bool {
	return func() bool {
		for _, name := range s.names() {
			st := s.cores[name].Status(s.now)
			if st.Version != v || !st.Confirmed || len(st.Pending) > 0 {
				return false
			}
		}
		return true
	}
}

// tree adds one root on the source and n nodes in four failure domains; each node needs one of five services.
func (s *sim) tree(src *memSource, n int) {
	s.add(Config{Name: "root", Source: src})
	for i := range n {
		s.add(Config{
			Name: fmt.Sprintf("n%03d", i), Domain: fmt.Sprintf("d%d", i%4), Controls: []string{"root"},
			Services: []string{fmt.Sprintf("s%d", i%5)},
		})
	}
}

// checkViews checks that each node's own view matches the source.
func (s *sim) checkViews(t testing.TB, src *memSource) {
	t.Helper()
	for _, name := range s.names() {
		c := s.cores[name]
		if c.isRoot() {
			continue
		}
		var got, want []*crwire.ConfigEntry
		for _, e := range s.views[name] {
			got = append(got, e)
		}
		want = src.store.appendEntries(want, "")
		for _, service := range sortedNames(c.local.subscription) {
			want = src.store.appendEntries(want, service)
		}
		qt.Assert(t, crconfig.ViewDigest(got), qt.Equals, crconfig.ViewDigest(want), qt.Commentf("view of %s", name))
	}
}
