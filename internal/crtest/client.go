package crtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Request is one send of a request by a caller. Fields with zero values are not sent.
type Request struct {
	ID       string
	Body     []byte
	Deadline time.Duration
}

// Reply is the result of a send as the caller sees it; Err is set if no complete answer was received.
type Reply struct {
	Code     crcode.Code
	Outcome  string
	Status   int
	Attempts int
	// RetryAfter is how long the caller has to wait before it may retry.
	RetryAfter time.Duration
	ID         string
	Body       string
	Err        error
}

// NewID returns a new request id whose home is this node.
func (n *Node) NewID() string { return n.IDAt(time.Now()) }

// IDAt returns a new request id of this node with the given creation time.
func (n *Node) IDAt(created time.Time) string {
	return fmt.Sprintf("%s.%d.%016x", n.Prefix(), created.UnixMilli(), rand.Uint64())
}

// Send sends a request to a node once and waits for the reply.
func (k *Cluster) Send(n *Node, kind string, r Request) Reply {
	return k.SendContext(context.Background(), n, kind, r)
}

// SendContext is like Send; the caller closes its connection when ctx ends.
func (k *Cluster) SendContext(ctx context.Context, n *Node, kind string, r Request) Reply {
	h := http.Header{}
	if r.ID != "" {
		h.Set(crnode.HeaderRequestID, r.ID)
	}
	if r.Deadline > 0 {
		h.Set(crnode.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	ctx, cancel := context.WithTimeout(ctx, Deadline)
	defer cancel()
	return sendOnce(ctx, k.Client, n.Settings.Listen, kind, h, r.Body)
}

func sendOnce(ctx context.Context, c *http.Client, addr, kind string, h http.Header, body []byte) Reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/call/"+kind, bytes.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	for name, v := range h {
		req.Header[name] = v
	}
	resp, err := c.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	code, _ := strconv.Atoi(resp.Header.Get(crnode.HeaderCode))
	attempts, _ := strconv.Atoi(resp.Header.Get(crnode.HeaderAttempts))
	after, _ := strconv.Atoi(resp.Header.Get(crnode.HeaderRetryAfter))
	return Reply{
		Code: crcode.Code(code), Outcome: resp.Header.Get(crnode.HeaderOutcome), Status: resp.StatusCode, Attempts: attempts,
		RetryAfter: time.Duration(after) * time.Millisecond,
		ID:         resp.Header.Get(crnode.HeaderRequestID), Body: string(got), Err: err,
	}
}

// Dump holds those parts of a node's state dump that tests read.
type Dump struct {
	Config struct {
		Version     string `json:"version"`
		Confirmed   bool   `json:"confirmed"`
		ConfirmedMS int64  `json:"confirmed_age_ms"`
		Refused     uint64 `json:"refused_older"`
	} `json:"config"`
	Gate struct {
		InFlight int    `json:"in_flight"`
		Limit    int    `json:"limit"`
		Queued   int    `json:"queued"`
		Level    uint64 `json:"level"`
		Running  int    `json:"running"`
	} `json:"gate"`
	Entrance struct {
		Ordinary  int `json:"ordinary_places"`
		Protected int `json:"protected_places"`
	} `json:"entrance"`
	Keeper struct {
		Groups  int `json:"groups"`
		Active  int `json:"active_groups"`
		Records int `json:"records"`
		Pending int `json:"pending_hand_overs"`
	} `json:"keeper"`
	Quarantine struct {
		Entries []struct {
			Fingerprint string `json:"fingerprint"`
		} `json:"entries"`
	} `json:"quarantine"`
	Stopping bool `json:"stopping"`
	Services []struct {
		Service string       `json:"service"`
		Servers []DumpServer `json:"servers"`
	} `json:"services"`
}

// DumpServer is one backend server in a node's state dump.
type DumpServer struct {
	Node     string `json:"node"`
	Ejected  bool   `json:"ejected"`
	InFlight int    `json:"in_flight"`
}

// Servers returns the servers of a service that are in the node's dump.
func (d Dump) Servers(service string) []DumpServer {
	for _, s := range d.Services {
		if s.Service == service {
			return s.Servers
		}
	}
	return nil
}

// Dump requests the node's state dump.
func (n *Node) Dump() Dump {
	var d Dump
	resp, err := n.cluster.Client.Get("http://" + n.Settings.Admin + "/v1/dump")
	n.cluster.C.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	n.cluster.C.Assert(json.NewDecoder(resp.Body).Decode(&d), qt.IsNil)
	return d
}

// ControlDump holds those parts of a control instance's state dump that tests read.
type ControlDump struct {
	Leads     bool   `json:"in_charge"`
	Term      uint64 `json:"term"`
	Version   string `json:"version"`
	Confirmed bool   `json:"version_confirmed"`
	Members   []struct {
		Name    string `json:"name"`
		Learner bool   `json:"learner"`
	} `json:"members"`
	Directory struct {
		Settled bool `json:"settled"`
		Entries int  `json:"entries"`
	} `json:"directory"`
}

// DumpControl requests the state dump of a control instance.
func (k *Cluster) DumpControl(c *Control) ControlDump {
	var d ControlDump
	resp, err := k.Client.Get("http://" + c.Settings.Admin + "/v1/dump")
	k.C.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	k.C.Assert(json.NewDecoder(resp.Body).Decode(&d), qt.IsNil)
	return d
}

// WaitUntilSettled waits until every control instance has run for the length of a lease. Before that, no control instance treats
// a node that does not renew its entry as lost, and no keeper (a node that stores request ids) is replaced.
func (k *Cluster) WaitUntilSettled() {
	k.C.Helper()
	k.Eventually(func() error {
		for _, c := range k.Controls {
			if !k.DumpControl(c).Directory.Settled {
				return fmt.Errorf("%s is not settled", c.Name)
			}
		}
		return nil
	})
}
