package crnode

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// Limits of announcements.
const (
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 100000
)

// leavingWait bounds how long the answer to the announcement of a leaving backend server waits for the runs in flight. A
// request that is on its way may otherwise reach a server that already closes idle connections. After this time a longer
// run has reached the server.
const leavingWait = 200 * time.Millisecond

// handler returns the HTTP handler for callers and for the backend server.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{service}/{kind}", n.serveHTTPCall)
	mux.HandleFunc("POST /v1/announce", n.serveAnnounce)
	mux.HandleFunc("GET /v1/id", n.serveID)
	mux.HandleFunc("GET /v1/entrances", n.serveEntrances)
	mux.HandleFunc("GET /v1/health", n.serveHealth)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, "", refusal(crcode.BadRequest, r.Method+" "+r.URL.Path+" does not exist; see docs/interface.md"))
	})
	return mux
}

// httpServer returns the HTTP server for callers. It closes connections that send their headers too slowly.
func (n *Node) httpServer() *http.Server {
	return &http.Server{Handler: n.handler(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeaderBytes}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (n *Node) serveID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, n.newID(time.Now()).String()+"\n")
}

func (n *Node) serveEntrances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Prefix    string   `json:"prefix"`
		Entrances []string `json:"entrances"`
	}{n.Prefix(), n.entrances()})
}

func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if a, ok := n.healthy(); !ok {
		writeAnswer(w, "", a)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		State string `json:"state"`
	}{"ready"})
}

func (n *Node) healthy() (answer, bool) {
	if n.requests.isStopping() {
		return refusal(crcode.Stopping, ""), false
	}
	if len(n.view.Services()) == 0 {
		return answer{code: crcode.NotConfigured, retryAfter: time.Second}, false
	}
	return answer{}, true
}

// serveAnnounce handles the announcement of the backend server beside this node.
func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	if !n.isLocal(r.RemoteAddr) {
		writeAnswer(w, "", refusal(crcode.Forbidden, "only the backend server on this instance may announce itself"))
		return
	}
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		writeAnswer(w, "", refusal(crcode.BadRequest, err.Error()))
		return
	}
	if err := n.checkAnnouncement(a); err != nil {
		writeAnswer(w, "", refusalFromError(err))
		return
	}
	n.applyAnnouncement(time.Now(), a)
	if a.State == StateLeaving {
		waitUntil(r.Context(), leavingWait, func() bool { return n.admittedCalls.Load() == 0 })
	}
	writeJSON(w, http.StatusOK, struct {
		LeaseMS    int64 `json:"lease_ms"`
		IntervalMS int64 `json:"announce_interval_ms"`
	}{leaseDuration.Milliseconds(), announceInterval.Milliseconds()})
}

// isLocal reports whether a connection comes from this instance.
func (n *Node) isLocal(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return false
	}
	own, err := netip.ParseAddrPort(n.Settings.Listen)
	return ip.IsLoopback() || err == nil && own.Addr() == ip
}

func (n *Node) checkAnnouncement(a Announcement) error {
	if a.Service != n.Settings.Service {
		return crcode.New(crcode.BadRequest, "service is %q, this node serves %q", a.Service, n.Settings.Service)
	}
	if ap, err := netip.ParseAddrPort(a.Address); err != nil || ap.Port() == 0 {
		return crcode.New(crcode.BadRequest, "address must be an IP number with a port")
	}
	if a.Slots < 1 || a.Slots > maxSlots || a.Connections < 1 || a.Connections > maxSlots {
		return crcode.New(crcode.BadRequest, "slots and connections must be from 1 to %d", maxSlots)
	}
	if a.Load < 0 || a.Load > 1 || a.Instance == "" || len(a.Instance) > maxCallKeyLength {
		return crcode.New(crcode.BadRequest, "load must be from 0 to 1, and instance 1 to %d characters", maxCallKeyLength)
	}
	switch a.State {
	case StateStarting, StateServing, StateLeaving:
		return nil
	}
	return crcode.New(crcode.BadRequest, "state must be starting, serving or leaving")
}

// applyAnnouncement renews the lease, updates the gate and, when the state or the instance changed, the directory.
func (n *Node) applyAnnouncement(now time.Time, a Announcement) {
	before := n.lease.renew(now, a)
	n.checkReplacedInstance(before, a)
	n.gate.announce(now, a.Slots)
	if before.State != a.State || before.Instance != a.Instance {
		_ = level.Info(n.Logger).Log("msg", "backend server announced", "state", a.State, "instance", a.Instance, "address", a.Address)
		n.announceToDirectory(a)
	}
}

// downstreamID returns the id of a downstream call. For kinds that may not be repeated it is derived from the call key
// and the same in each run of the root request; otherwise it is unique to this call.
func (e *execution) downstreamID(h callHeaders, kind kindInfo) (string, error) {
	if kind.Repeatable() {
		return e.id + "/d" + strconv.Itoa(e.nextCall()), nil
	}
	if h.callKey == "" {
		return "", crcode.New(crcode.MissingCallKey, "")
	}
	root, err := crrecord.ParseID(e.rootID)
	if err != nil {
		return "", err
	}
	id, err := root.Derive(h.callKey)
	if err != nil {
		return "", err
	}
	return id.String(), nil
}
