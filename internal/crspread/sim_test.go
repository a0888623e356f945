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

// memSource is a committed configuration in memory.
type memSource struct {
	store     *store
	confirmed bool
}

func newSource() *memSource { return &memSource{store: newStore(true), confirmed: true} }

// put commits one entry at the next index.
func (m *memSource) put(key, service, value string) crconfig.Version {
	v := crconfig.Version{Epoch: 1, Index: m.store.version.Index + 1}
	m.store.put(&crwire.ConfigEntry{
		Key: key, Service: service, Version: v.Wire(), Value: []byte(value), Deleted: value == "",
	}, true)
	m.store.version = v
	return v
}

func (m *memSource) Version() crconfig.Version { return m.store.version }
func (m *memSource) Confirmed() bool           { return m.confirmed }
func (m *memSource) Changes(from crconfig.Version) Changes {
	c := Changes{To: m.store.version, Digest: m.store.total(), Full: from == (crconfig.Version{})}
	if !c.Full {
		c.Entries = m.store.delta(nil, from, func(string) bool { return true })
		return c
	}
	for name := range m.store.sections {
		c.Entries = m.store.live(c.Entries, name)
	}
	return c
}

type end struct {
	name string
	link uint64
}

// sim runs cores with messages that take 10 ms; names are addresses.
type sim struct {
	now   time.Time
	cores map[string]*Core
	views map[string]map[string]*crwire.ConfigEntry
	// dead names do not answer; their links break at once when kill is used.
	dead  map[string]bool
	peers map[end]end
	next  uint64
	queue []func()
	// filter returns how many times a message is delivered.
	filter func(from, to string, m proto.Message) int
	// refuse, when set, is asked whether a view refuses an update.
	refuse func(name string, u Update) error
	// after, when set, is called after each step.
	after func()
}

func newSim() *sim {
	return &sim{
		now: time.Unix(1000, 0), cores: map[string]*Core{}, dead: map[string]bool{}, peers: map[end]end{},
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

// down marks links of child ends and of parent ends apart, since both sides number on their own.
const down = uint64(1) << 40

func (s *sim) run(name string, outs []Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case OpenParent:
			s.open(name, o)
		case SendDown:
			s.send(end{name, o.Link}, o.Message)
		case SendUp:
			s.send(end{name, o.Link}, o.Message)
		case CloseChild:
			s.cut(end{name, o.Link})
		case CloseParent:
			s.cut(end{name, o.Link})
		case Update:
			s.run(name, s.cores[name].Viewed(s.now, o, s.update(name, o)))
		}
	}
}

func (s *sim) open(name string, o OpenParent) {
	s.queue = append(s.queue, func() {
		if s.dead[name] {
			return
		}
		if s.dead[o.Address] || s.cores[o.Address] == nil {
			s.run(name, s.cores[name].ParentLost(s.now, o.Link))
			return
		}
		s.next++
		child, parent := end{name, o.Link}, end{o.Address, down + s.next}
		s.peers[child], s.peers[parent] = parent, child
		s.run(o.Address, s.cores[o.Address].ChildJoin(s.now, parent.link, o.Join))
	})
}

func (s *sim) send(from end, m proto.Message) {
	to, ok := s.peers[from]
	if !ok {
		return
	}
	times := 1
	if s.filter != nil {
		times = s.filter(from.name, to.name, m)
	}
	for range times {
		s.queue = append(s.queue, func() {
			// A message that was sent before its link was closed still arrives.
			if s.dead[to.name] || s.dead[from.name] {
				return
			}
			switch m := proto.Clone(m).(type) {
			case *crwire.SpreadDown:
				s.run(to.name, s.cores[to.name].ParentDown(s.now, to.link, m))
			case *crwire.SpreadUp:
				s.run(to.name, s.cores[to.name].ChildUp(s.now, to.link, m))
			}
		})
	}
}

func (s *sim) cut(a end) {
	b, ok := s.peers[a]
	if !ok {
		return
	}
	delete(s.peers, a)
	delete(s.peers, b)
	s.queue = append(s.queue, func() {
		switch {
		case s.dead[b.name]:
		case b.link >= down:
			s.run(b.name, s.cores[b.name].ChildLost(s.now, b.link))
		default:
			s.run(b.name, s.cores[b.name].ParentLost(s.now, b.link))
		}
	})
}

// kill ends a process and its links.
func (s *sim) kill(name string) {
	s.dead[name] = true
	ends := []end{}
	for e := range s.peers {
		if e.name == name {
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return int(a.link) - int(b.link) })
	for _, e := range ends {
		s.cut(e)
	}
}

func (s *sim) update(name string, u Update) error {
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
			s.run(name, s.cores[name].Tick(s.now))
		}
	}
	if s.after != nil {
		s.after()
	}
}

// names returns the running processes, sorted.
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

// until steps until ok holds and fails the test when it does not within the simulated time.
func (s *sim) until(t testing.TB, within time.Duration, what string, ok func() bool) time.Duration {
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

func (s *sim) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// inForce reports whether every running process has the version, confirmed and with its whole subscription.
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

// tree adds one root on the source and n nodes in four failure domains that need one of five services each.
func (s *sim) tree(src *memSource, n int) {
	s.add(Config{Name: "root", Source: src})
	for i := range n {
		s.add(Config{
			Name: fmt.Sprintf("n%03d", i), Domain: fmt.Sprintf("d%d", i%4), Controls: []string{"root"},
			Services: []string{fmt.Sprintf("s%d", i%5)},
		})
	}
}

// checkViews compares each node's own view with the source.
func (s *sim) checkViews(t testing.TB, src *memSource) {
	t.Helper()
	for _, name := range s.names() {
		c := s.cores[name]
		if c.root() {
			continue
		}
		var got, want []*crwire.ConfigEntry
		for _, e := range s.views[name] {
			got = append(got, e)
		}
		want = src.store.live(want, "")
		for _, service := range sorted(c.local.want) {
			want = src.store.live(want, service)
		}
		qt.Assert(t, crconfig.ViewDigest(got), qt.Equals, crconfig.ViewDigest(want), qt.Commentf("view of %s", name))
	}
}
