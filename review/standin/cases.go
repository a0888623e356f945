package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// deployment is a started fleet with a server beside each node.
type deployment struct {
	*fleet
	servers []*server
}

func deploy(r *record, routes []route, pairs ...string) (*deployment, error) {
	f, err := newFleet(r, pairs...)
	if err != nil {
		return nil, err
	}
	d := &deployment{fleet: f}
	if err := d.fleet.start(routes...); err != nil {
		d.stop()
		return nil, err
	}
	for _, m := range f.sidecars {
		s, err := startServer(m)
		if err != nil {
			d.stop()
			return nil, err
		}
		d.servers = append(d.servers, s)
	}
	return d, nil
}

func (d *deployment) stop() {
	d.fleet.stop()
	for _, s := range d.servers {
		s.stop()
	}
}

// warmUp sends requests from a machine until ten in a row have been answered by servers.
func (d *deployment) warmUp(m *machine, r request) error {
	inRow := 0
	for i, end := 0, time.Now().Add(15*time.Second); time.Now().Before(end); i++ {
		r.id = fmt.Sprintf("warm-%s-%d", m.name, i)
		if out := once(m, r); out.err == nil && out.status == http.StatusOK {
			inRow++
		} else {
			inRow = 0
			time.Sleep(100 * time.Millisecond)
		}
		if inRow == 10 {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve %s", m.name, r.path)
}

// once sends a request on a connection of its own.
func once(m *machine, r request) result {
	c, err := dial(m)
	if err != nil {
		return result{request: r, sentAt: time.Now(), err: errNotConnected{err}}
	}
	defer func() { _ = c.Close() }()
	return c.exchange(r)
}

// errNotConnected is the error of a request that was never sent.
type errNotConnected struct{ error }

// results collects what clients saw.
type results struct {
	record *record
	mu     sync.Mutex
	list   []result
	wg     sync.WaitGroup
}

func (s *results) add(r result) {
	s.record.printf("%s", r.describe())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, r)
}

// all returns the results so far.
func (s *results) all() []result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]result(nil), s.list...)
}

// lookAndRecord are a route whose requests may be repeated, one whose requests make calls, and one whose requests may not be
// repeated.
var lookAndRecord = []route{
	{"look", "/look/", "idempotent", "njia"}, {"chain", "/chain/", "idempotent", "njia"}, {"record", "/record/", "non_idempotent", "daftari"},
}

// longAfter is when the long request of playStop is sent after the SIGTERM, while the node still takes work for its server.
const longAfter = 1900 * time.Millisecond

// playStop sends SIGTERM to a node while a request of another machine runs long on the server beside it and makes calls, and
// clients of its machine go on sending. The machine is the only one of its zone, so the readiness check does not keep the
// clients away.
func playStop(r *record, trouble bool) (bool, error) {
	d, err := deploy(r, lookAndRecord, "nyanda-a njia", "nyanda-b daftari", "nyanda-c daftari")
	if err != nil {
		return false, err
	}
	defer d.stop()
	stopped, other := d.sidecars[0], d.sidecars[1]
	if err := d.warmUp(other, request{method: http.MethodGet, path: "/look/20/100/w", budget: 5 * time.Second}); err != nil {
		return false, err
	}
	if err := d.warmUp(stopped, request{method: http.MethodPost, path: "/record/20/100/w", budget: 5 * time.Second}); err != nil {
		return false, err
	}
	seen := &results{record: r}
	termAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	long := request{id: "long", method: http.MethodGet, path: "/chain/3500/100/long", budget: 5 * time.Second}
	time.AfterFunc(longAfter, func() {
		r.printf("send %s at %s, for the server beside %s", long.id, other.name, stopped.name)
		r.printf("%s", once(other, long).describe())
	})
	for i := 0; time.Since(termAt) < grace; i++ {
		q := request{id: fmt.Sprintf("sack-%d", i), method: http.MethodPost, path: "/record/300/100/" + fmt.Sprint(i), budget: 5 * time.Second}
		r.printf("send %s at %s, %.3f s after the SIGTERM", q.id, stopped.name, time.Since(termAt).Seconds())
		seen.wg.Go(func() { seen.add(once(stopped, q)) })
		time.Sleep(100 * time.Millisecond)
	}
	seen.wg.Wait()
	fromClients := lostAround(r, d, seen.list, termAt)
	calls := d.servers[0].calls.all()
	fromServer := lostAround(r, d, calls, termAt)
	r.printf("lost: %d of %d requests of clients, %d of %d calls of the server; one breaks the rule", fromClients, len(seen.list), fromServer, len(calls))
	return fromClients+fromServer > 0, nil
}

// lostAround counts the requests that were passed on to a server and whose connection ended without a complete answer. It
// leaves out those that the rule leaves out: a server that was still at work in the last sixth of the grace time on a
// request that was sent no later than 3 s after the SIGTERM, and requests whose time budget was reached.
func lostAround(r *record, d *deployment, list []result, termAt time.Time) int {
	runs := map[string]run{}
	for _, s := range d.servers {
		for _, x := range s.ran() {
			runs[x.id] = x
		}
	}
	lost := 0
	for _, q := range list {
		x, ran := runs[q.id]
		if q.err == nil || !ran {
			continue
		}
		lastSixth := termAt.Add(grace * 5 / 6)
		excused := q.sentAt.Sub(termAt) <= 3*time.Second && (x.ended.IsZero() || x.ended.After(lastSixth))
		if excused || time.Since(q.sentAt) > q.budget && x.ended.IsZero() {
			continue
		}
		r.printf("LOST: %s was sent %.3f s after the SIGTERM, ran on a server, and got no complete answer: %v", q.id, q.sentAt.Sub(termAt).Seconds(), q.err)
		lost++
	}
	return lost
}

// playSlowReader lets clients pause for 2.5 s while they read an answer of 400 kB on a kept connection.
func playSlowReader(r *record, trouble bool) (bool, error) {
	d, err := deploy(r, lookAndRecord, "nyanda-a njia", "nyanda-b njia", "nyanda-c daftari")
	if err != nil {
		return false, err
	}
	defer d.stop()
	entrance := d.sidecars[2]
	if err := d.warmUp(entrance, request{method: http.MethodGet, path: "/look/20/100/w", budget: 5 * time.Second}); err != nil {
		return false, err
	}
	time.Sleep(contact)
	seen := &results{record: r}
	for i := range 6 {
		seen.wg.Go(func() {
			for k := range 2 {
				slowClient(entrance, fmt.Sprintf("slow-%d-%d", i, k), trouble, seen)
			}
		})
	}
	seen.wg.Wait()
	atAnyTime := cutAtAnyTime(r, seen.list)
	large := request{method: http.MethodGet, path: "/look/50/400000/x", budget: 4500 * time.Millisecond}
	if trouble {
		large.pause = slowPause
	}
	return cutAroundStop(r, d, entrance, large) > 0 || atAnyTime > 3, nil
}

// slowPause is how long a slow client does not read.
const slowPause = 2500 * time.Millisecond

// cutAtAnyTime counts the requests on kept connections that got no complete answer.
func cutAtAnyTime(r *record, list []result) int {
	cut := 0
	for _, q := range list {
		if q.err != nil {
			cut++
		}
	}
	r.printf("LOST at any time: %d of %d requests on kept connections got no complete answer; more than three break the rule", cut, len(list))
	return cut
}

// cutAroundStop sends SIGTERM to the entrance and, in the second after it, requests like the given one. Clients of the
// machine notice the stop only at the second missed readiness check. It returns the number of the requests that were passed
// on to a server and got no complete answer.
func cutAroundStop(r *record, d *deployment, entrance *machine, like request) int {
	seen := &results{record: r}
	termAt := time.Now()
	entrance.signal(syscall.SIGTERM)
	for i := range 5 {
		q := like
		q.id = fmt.Sprintf("stop-%d", i)
		r.printf("send %s, %.3f s after the SIGTERM", q.id, time.Since(termAt).Seconds())
		seen.wg.Go(func() { seen.add(once(entrance, q)) })
		time.Sleep(150 * time.Millisecond)
	}
	seen.wg.Wait()
	lost := lostAround(r, d, seen.list, termAt)
	r.printf("LOST around planned work: %d of %d requests; one breaks the rule", lost, len(seen.list))
	return lost
}

// slowClient sends two requests on one connection: a small one, and a large one whose answer it reads slowly.
func slowClient(m *machine, id string, slow bool, seen *results) {
	c, err := dial(m)
	if err != nil {
		seen.add(result{request: request{id: id}, sentAt: time.Now(), err: err})
		return
	}
	defer func() { _ = c.Close() }()
	small := c.exchange(request{id: id + "-a", method: http.MethodGet, path: "/look/20/100/" + id, budget: 4500 * time.Millisecond})
	seen.add(small)
	if small.err != nil || small.closes {
		return
	}
	large := request{id: id + "-b", method: http.MethodGet, path: "/look/50/400000/" + id, budget: 4500 * time.Millisecond}
	if slow {
		large.pause = slowPause
	}
	seen.add(c.exchange(large))
}

// Times of playDeparture, from the confirmation of the deregistration.
const (
	killAfter    = 200 * time.Millisecond
	backAfter    = 900 * time.Millisecond // after the kill
	lateAfter    = 4 * time.Second
	servesFor    = 12 * time.Second
	departureEnd = 12 * time.Second
)

// playDeparture lets a server deregister, has the node beside it confirm that, kills that node and the core at one moment,
// starts them again, and delivers a heartbeat that the server had sent before it deregistered.
func playDeparture(r *record, trouble bool) (bool, error) {
	d, err := deploy(r, lookAndRecord, "nyanda-a njia", "nyanda-b njia", "nyanda-c daftari")
	if err != nil {
		return false, err
	}
	defer d.stop()
	leaver, entrance := d.servers[0], d.sidecars[2]
	if err := d.warmUp(entrance, request{method: http.MethodGet, path: "/look/20/100/w", budget: 5 * time.Second}); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	late := leaver.heartbeat()
	status, err := leaver.deregister()
	ackedAt := time.Now()
	r.printf("%s deregisters: %d %v", leaver.id, status, err)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the deregistration was not confirmed: %d %v", status, err)
	}
	startedAt := ackedAt
	if trouble {
		time.Sleep(killAfter)
		if startedAt, err = d.herdKill(append(d.cores, d.sidecars[:1]...)); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(ackedAt.Add(lateAfter)))
	status, err = leaver.send(late)
	r.printf("the heartbeat that was sent before the deregistration arrives %.1f s after the confirmation: %d %v", time.Since(ackedAt).Seconds(), status, err)
	seen := &results{record: r}
	for i := 0; time.Since(ackedAt) < departureEnd; i++ {
		q := request{id: fmt.Sprintf("look-%d", i), method: http.MethodGet, path: fmt.Sprintf("/look/20/100/%d", i), budget: 5 * time.Second}
		seen.wg.Go(func() { seen.add(once(entrance, q)) })
		time.Sleep(50 * time.Millisecond)
	}
	seen.wg.Wait()
	return runsAfterLeave(r, leaver, seen.list, ackedAt, startedAt) > 0, nil
}

// herdKill kills the machines' processes at one moment, starts them again and returns when the last one was started.
func (d *deployment) herdKill(list []*machine) (time.Time, error) {
	for _, m := range list {
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(backAfter)
	for _, m := range list {
		<-m.ended
		if err := m.start(); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

// runsAfterLeave counts the requests that reached the server later than the drain time after its leave was confirmed. It
// counts only requests that were sent at least twice the contact time after the last start, when all machines are in touch.
func runsAfterLeave(r *record, leaver *server, list []result, ackedAt, startedAt time.Time) int {
	sentAt := map[string]time.Time{}
	for _, q := range list {
		sentAt[q.id] = q.sentAt
	}
	count := 0
	for _, x := range leaver.ran() {
		sent, ok := sentAt[x.id]
		if !ok || x.began.Sub(ackedAt) <= drain || sent.Sub(startedAt) < 2*contact {
			continue
		}
		r.printf("DRAIN: %s reached %s %.3f s after its leave was confirmed", x.id, leaver.id, x.began.Sub(ackedAt).Seconds())
		count++
	}
	return count
}

// uploadRoutes are the routes of the cases with long bodies.
var uploadRoutes = []route{{"look", "/look/", "idempotent", "njia"}, {"upload", "/upload/", "upload", "njia"}, {"early", "/early/", "upload", "njia"}}

// uploadBytes is the size of a long body; short bodies have shortBytes.
const (
	uploadBytes = 2 << 20
	shortBytes  = 256 << 10
)

// playEarly sends uploads, in chunks and with a length, to servers that answer before they have read the body and read on.
// Without the disruption the bodies are short.
func playEarly(r *record, trouble bool) (bool, error) {
	d, err := deploy(r, uploadRoutes, "nyanda-a njia", "nyanda-b njia", "nyanda-c daftari")
	if err != nil {
		return false, err
	}
	defer d.stop()
	entrance := d.sidecars[2]
	if err := d.warmUp(entrance, request{method: http.MethodGet, path: "/look/20/100/w", budget: 5 * time.Second}); err != nil {
		return false, err
	}
	time.Sleep(contact)
	size := shortBytes
	if trouble {
		size = uploadBytes
	}
	for i := range 40 {
		q := request{id: fmt.Sprintf("plate-%d", i), method: http.MethodPost, path: fmt.Sprintf("/early/%d", i), budget: 5 * time.Second, body: countingBody(size), chunked: i%2 == 0}
		r.printf("send %s, %d bytes, in chunks %t", q.id, size, q.chunked)
		r.printf("%s", once(entrance, q).describe())
	}
	wrong := 0
	for _, s := range d.servers {
		s.mu.Lock()
		for _, u := range s.uploads {
			if u.wrongAt >= 0 || u.err == nil && u.bytes != size {
				r.printf("UNASKED: %s was sent with %d bytes; the server got %d, others than the client's from %d on, end %v", u.id, size, u.bytes, u.wrongAt, u.err)
				wrong++
			}
		}
		s.mu.Unlock()
	}
	return wrong > 0, nil
}

// playUpload sends uploads on kept connections to servers that read the whole body, work and answer with 200 kB. Without
// the disruption the bodies are short.
func playUpload(r *record, trouble bool) (bool, error) {
	d, err := deploy(r, uploadRoutes, "nyanda-a njia", "nyanda-b njia", "nyanda-c daftari")
	if err != nil {
		return false, err
	}
	defer d.stop()
	entrance := d.sidecars[2]
	if err := d.warmUp(entrance, request{method: http.MethodGet, path: "/look/20/100/w", budget: 5 * time.Second}); err != nil {
		return false, err
	}
	time.Sleep(contact)
	size := shortBytes
	if trouble {
		size = uploadBytes
	}
	seen := &results{record: r}
	for i := range 20 {
		uploadOnKept(entrance, fmt.Sprintf("plate-%d", i), countingBody(size), seen)
	}
	atAnyTime := cutAtAnyTime(r, seen.list)
	like := request{method: http.MethodPost, path: "/upload/50/200000/x", budget: 5 * time.Second, body: countingBody(size)}
	return cutAroundStop(r, d, entrance, like) > 0 || atAnyTime > 3, nil
}

// uploadOnKept sends a small request and then an upload on one connection.
func uploadOnKept(m *machine, id string, body []byte, seen *results) {
	c, err := dial(m)
	if err != nil {
		seen.add(result{request: request{id: id}, sentAt: time.Now(), err: err})
		return
	}
	defer func() { _ = c.Close() }()
	small := c.exchange(request{id: id + "-a", method: http.MethodGet, path: "/look/20/100/" + id, budget: 5 * time.Second})
	seen.add(small)
	if small.err == nil && !small.closes {
		seen.add(c.exchange(request{id: id + "-b", method: http.MethodPost, path: "/upload/50/200000/" + id, budget: 5 * time.Second, body: body}))
	}
}
