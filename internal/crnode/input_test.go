package crnode_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// TestBadHTTPInput guards against malformed requests that reach a backend server (invariant I4): each gets its numbered
// error and none is run.
func TestBadHTTPInput(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, ledgerOptions(1, nil))
	n := k.Nodes[0]
	id := n.NewID()
	type header = http.Header
	for name, c := range map[string]struct {
		path   string
		header header
		body   io.Reader
		code   crcode.Code
	}{
		"no id":            {"ledger/record", nil, nil, crcode.MissingID},
		"bad id":           {"ledger/read", header{crnode.HeaderRequestID: {"x"}}, nil, crcode.BadID},
		"id with key":      {"ledger/record", header{crnode.HeaderRequestID: {id + "/key"}}, nil, crcode.BadID},
		"future id":        {"ledger/record", header{crnode.HeaderRequestID: {n.IDAt(time.Now().Add(time.Hour))}}, nil, crcode.IDFromFuture},
		"two ids":          {"ledger/record", header{crnode.HeaderRequestID: {id, id}}, nil, crcode.DuplicateHeader},
		"zero deadline":    {"ledger/read", header{crnode.HeaderDeadline: {"0"}}, nil, crcode.BadDeadline},
		"negative":         {"ledger/read", header{crnode.HeaderDeadline: {"-5"}}, nil, crcode.BadDeadline},
		"fraction":         {"ledger/read", header{crnode.HeaderDeadline: {"1.5"}}, nil, crcode.BadDeadline},
		"huge deadline":    {"ledger/read", header{crnode.HeaderDeadline: {"99999999999999999999"}}, nil, crcode.BadDeadline},
		"unknown context":  {"ledger/read", header{crnode.HeaderContext: {"00"}}, nil, crcode.BadContext},
		"bad key":          {"ledger/read", header{crnode.HeaderCallKey: {"A b"}}, nil, crcode.BadRequest},
		"unknown service":  {"nothing/read", nil, nil, crcode.UnknownService},
		"unknown kind":     {"ledger/nothing", nil, nil, crcode.UnknownKind},
		"large body":       {"ledger/read", nil, bytes.NewReader(make([]byte, 1<<20+1)), crcode.BodyTooLarge},
		"large chunks":     {"ledger/read", nil, io.MultiReader(bytes.NewReader(make([]byte, 1<<20)), strings.NewReader("xx")), crcode.BodyTooLarge},
		"service with dot": {"led.ger/read", nil, nil, crcode.UnknownService},
	} {
		req, err := http.NewRequest(http.MethodPost, "http://"+n.Settings.Listen+"/v1/call/"+c.path, c.body)
		k.C.Assert(err, qt.IsNil)
		for h, v := range c.header {
			req.Header[h] = v
		}
		resp, err := k.Client.Do(req)
		k.C.Assert(err, qt.IsNil, qt.Commentf(name))
		_ = resp.Body.Close()
		k.C.Check(resp.Header.Get(crnode.HeaderCode), qt.Equals, fmt.Sprint(int(c.code)), qt.Commentf(name))
		k.C.Check(resp.Header.Get(crnode.HeaderOutcome), qt.Equals, crcode.NotRun.String(), qt.Commentf(name))
	}
	k.C.Check(k.Runs.Count("ledger/read", n.Name)+k.Runs.Count("ledger/record", n.Name), qt.Equals, 0)
}

// TestTruncatedBodyIsRefused guards against a truncated request body that is forwarded (invariant I4).
func TestTruncatedBodyIsRefused(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, ledgerOptions(1, nil))
	n := k.Nodes[0]
	conn, err := net.Dial("tcp", n.Settings.Listen)
	k.C.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /v1/call/ledger/read HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nPARTIAL")
	k.C.Assert(err, qt.IsNil)
	k.C.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	answer, err := io.ReadAll(conn)
	k.C.Assert(err, qt.IsNil)
	k.C.Check(string(answer), qt.Contains, "Citronramp-Code: 200")
	k.C.Assert(conn.Close(), qt.IsNil)
	k.C.Check(k.Runs.Count("ledger/read", n.Name), qt.Equals, 0)
}

// TestBadInnerBytes guards against invalid connections to the inner port: garbage, a frame above the size limit, a wrong
// secret and another version are refused and counted, and the node continues to serve.
func TestBadInnerBytes(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, ledgerOptions(1, nil))
	n := k.Nodes[0]
	for _, first := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"), bytes.Repeat([]byte{0xff}, 64), binary.BigEndian.AppendUint32(nil, 1<<31), {0, 0, 0, 0}, nil,
	} {
		conn, err := net.Dial("tcp", n.Inner.Addr().String())
		k.C.Assert(err, qt.IsNil)
		_, _ = conn.Write(first)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
	e := &crwire.Endpoint{
		Identity: crwire.Identity{Self: crwire.Peer{Name: "stranger", Incarnation: "1", Role: crwire.RoleNode}, Secret: []byte("wrong")},
		Mux:      &crwire.Mux{},
	}
	defer e.Close()
	_, err := e.Session(context.Background(), n.Settings.Inner)
	k.C.Check(crcode.Of(err), qt.Equals, crcode.BadSecret)
	k.C.Check(forgedProof(k, n), qt.Equals, crcode.BadSecret)
	k.C.Check(k.Send(n, "ledger/read", crtest.Request{}).Code, qt.Equals, crcode.OK)
}

// forgedProof connects, ignores the node's own proof, sends a wrong proof, and returns the code of the verdict.
func forgedProof(k *crtest.Cluster, n *crtest.Node) crcode.Code {
	conn, err := net.Dial("tcp", n.Settings.Inner)
	k.C.Assert(err, qt.IsNil)
	defer conn.Close()
	write := func(m proto.Message) {
		b, err := proto.Marshal(m)
		k.C.Assert(err, qt.IsNil)
		_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
		k.C.Assert(err, qt.IsNil)
	}
	read := func(m proto.Message) {
		var head [4]byte
		_, err := io.ReadFull(conn, head[:])
		k.C.Assert(err, qt.IsNil)
		b := make([]byte, binary.BigEndian.Uint32(head[:]))
		_, err = io.ReadFull(conn, b)
		k.C.Assert(err, qt.IsNil)
		k.C.Assert(proto.Unmarshal(b, m), qt.IsNil)
	}
	write(&crwire.Hello{Version: crwire.Version, Name: "stranger", Incarnation: "1", Role: crwire.RoleNode, Nonce: make([]byte, 16)})
	read(&crwire.Hello{})
	write(&crwire.Verdict{Proof: make([]byte, 32)})
	var v crwire.Verdict
	read(&v)
	return crcode.Code(v.GetCode())
}

// TestBadInnerCalls guards against invalid calls on the inner port of a process that knows the secret but is outdated or
// faulty (invariants I4 and I5). Each gets a numbered error, and nothing is run.
func TestBadInnerCalls(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, ledgerOptions(1, nil))
	n := k.Nodes[0]
	e := &crwire.Endpoint{
		Identity: crwire.Identity{Self: crwire.Peer{Name: "peer", Incarnation: "1", Role: crwire.RoleNode}, Secret: []byte(crtest.Secret)},
		Mux:      &crwire.Mux{},
	}
	defer e.Close()
	s, err := e.Session(context.Background(), n.Settings.Inner)
	k.C.Assert(err, qt.IsNil)
	good := func() *crwire.CallRequest {
		id := n.NewID()
		return &crwire.CallRequest{
			RequestId: id, RootId: id, Service: "ledger", Kind: "record", RemainingUs: 1_000_000, TargetIncarnation: n.Incarnation,
			BodyChecksum: crc32.ChecksumIEEE(nil),
		}
	}
	for name, c := range map[string]struct {
		change func(*crwire.CallRequest)
		code   crcode.Code
	}{
		"incarnation": {func(r *crwire.CallRequest) { r.TargetIncarnation = "old" }, crcode.StaleIncarnation},
		"checksum":    {func(r *crwire.CallRequest) { r.Body = []byte("other") }, crcode.MalformedMessage},
		"service":     {func(r *crwire.CallRequest) { r.Service = "other" }, crcode.Leaving},
		"kind":        {func(r *crwire.CallRequest) { r.Kind = "other" }, crcode.UnknownKind},
		"id":          {func(r *crwire.CallRequest) { r.RequestId = "x" }, crcode.BadID},
		"no time":     {func(r *crwire.CallRequest) { r.RemainingUs = 0 }, crcode.DeadlineExpired},
		"past":        {func(r *crwire.CallRequest) { r.RemainingUs = math.MinInt64 }, crcode.DeadlineExpired},
		"overflow":    {func(r *crwire.CallRequest) { r.RemainingUs = math.MaxInt64 }, crcode.DeadlineExpired},
	} {
		req := good()
		c.change(req)
		resp, err := crwire.Call[crwire.CallResponse](context.Background(), s, "call", req)
		k.C.Assert(err, qt.IsNil, qt.Commentf(name))
		k.C.Check(crcode.Code(resp.GetCode()), qt.Equals, c.code, qt.Commentf("%s: %s", name, resp.GetDetail()))
	}
	_, err = crwire.Call[crwire.CallResponse](context.Background(), s, "nothing", good())
	k.C.Check(crcode.Of(err), qt.Equals, crcode.UnknownMethod)
	_, err = crwire.Call[crwire.TakeResponse](context.Background(), s, "retry.take", &crwire.TakeRequest{RootId: n.NewID(), TargetIncarnation: "old"})
	k.C.Check(crcode.Of(err), qt.Equals, crcode.StaleIncarnation)
	k.C.Check(k.Runs.Count("ledger/record", n.Name), qt.Equals, 0)
	resp, err := crwire.Call[crwire.CallResponse](context.Background(), s, "call", good())
	k.C.Assert(err, qt.IsNil)
	k.C.Check(crcode.Code(resp.GetCode()), qt.Equals, crcode.OK, qt.Commentf("the unmodified call must run"))
}
