package crintake_test

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/platform"
)

// Sizes of the protocol between processes.
const (
	firstMessageLimit = 1 << 10
	nonceLength       = 16
	// windowBytes is what a stream may carry before its receiver grants more.
	windowBytes = 256 << 10
	// unfinishedStreams is the number of streams on which a client begins a message that it does not end.
	unfinishedStreams = 8
	// spareFDs is the number of descriptors that clients leave to files, links and the system's own processes.
	spareFDs = 64
	// reconnects is how often a client connects again after it has reset its connection.
	reconnects = 50
)

// Frames of a multiplexed session.
const (
	dataFrame, windowFrame, pingFrame = 0, 1, 2
	openFlag, ackFlag                 = 1, 2
)

// frame returns a message with its size in front.
func frame(m proto.Message) string {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return announce(len(b)) + string(b)
}

// announce returns the header of a message of n bytes.
func announce(n int) string { return string(binary.BigEndian.AppendUint32(nil, uint32(n))) }

func hello(name string) *crwire.Hello {
	return &crwire.Hello{Version: crwire.Version, Name: name, Incarnation: "1", Role: crwire.RoleTool, Nonce: bytes.Repeat([]byte{1}, nonceLength)}
}

// receive reads one message.
func receive(c net.Conn, m proto.Message) error {
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > firstMessageLimit {
		return errors.New("too large")
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		return err
	}
	return proto.Unmarshal(b, m)
}

// shakeHands runs the handshake with an empty secret, as the processes of the platform have, and reports whether it
// succeeded.
func shakeHands(c net.Conn, name string) bool {
	_ = c.SetReadDeadline(time.Now().Add(crowdTime))
	own := hello(name)
	if _, err := io.WriteString(c, frame(own)); err != nil {
		return false
	}
	var peer crwire.Hello
	if receive(c, &peer) != nil {
		return false
	}
	mac := hmac.New(sha256.New, nil)
	_, _ = io.WriteString(mac, "client"+string(own.GetNonce())+string(peer.GetNonce()))
	if _, err := io.WriteString(c, frame(&crwire.Verdict{Proof: mac.Sum(nil)})); err != nil {
		return false
	}
	var v crwire.Verdict
	return receive(c, &v) == nil && v.GetCode() == 0
}

// streamFrame returns the header of a frame of a session.
func streamFrame(kind, flags byte, stream uint32, length int) string {
	b := binary.BigEndian.AppendUint32([]byte{0, kind, 0, flags}, stream)
	return string(binary.BigEndian.AppendUint32(b, uint32(length)))
}

// inSession sends within a session.
func inSession(sends sender) sender {
	return func(c net.Conn, to target) {
		if shakeHands(c, "tool-"+c.LocalAddr().String()) {
			sends(c, to)
		}
	}
}

// answerPings answers the pings of a session in the background until the connection ends, so that the session stays open.
func answerPings(c net.Conn, _ target) {
	_ = c.SetDeadline(time.Time{})
	go func() {
		for {
			var header [12]byte
			if _, err := io.ReadFull(c, header[:]); err != nil {
				return
			}
			if header[1] != pingFrame || header[3] != openFlag {
				continue
			}
			id := int(binary.BigEndian.Uint32(header[8:]))
			if _, err := io.WriteString(c, streamFrame(pingFrame, ackFlag, 0, id)); err != nil {
				return
			}
		}
	}()
}

// openStreams opens streams until the connection fails or endlessTime has passed.
func openStreams(c net.Conn, _ target) {
	_ = c.SetWriteDeadline(time.Now().Add(endlessTime))
	for id := uint32(1); ; id += 2 {
		if _, err := io.WriteString(c, streamFrame(windowFrame, openFlag, id, 0)); err != nil {
			return
		}
	}
}

// beginMessages begins a message of the largest size on each of several streams.
func beginMessages(c net.Conn, _ target) {
	for i := range uint32(unfinishedStreams) {
		text := announce(crwire.MaxMessageBytes) + strings.Repeat("x", windowBytes-4)
		_, _ = io.WriteString(c, streamFrame(dataFrame, openFlag, 2*i+1, len(text))+text)
	}
}

// reconnect sends a part of a first message, resets the connection and connects again.
func reconnect(_ net.Conn, to target) {
	for range reconnects {
		c, err := net.Dial("tcp", to.address)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, announce(firstMessageLimit)+strings.Repeat("x", firstMessageLimit-100))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// peerCrowds are the kinds of clients of listeners for other processes.
var peerCrowds = []crowd{
	{"first messages that stop before their end", crowdSize, crowdFDs, once(func(target) string {
		return announce(firstMessageLimit) + strings.Repeat("x", firstMessageLimit-100)
	})},
	{"connections that are reset and opened again", crowdSize, crowdFDs, reconnect},
	{"first messages over the limit", crowdSize, crowdFDs, once(func(target) string {
		return announce(1<<32-1) + strings.Repeat("x", 64<<10)
	})},
	{"first messages without end", crowdSize, crowdFDs, endless(func(target) string { return announce(firstMessageLimit) }, strings.Repeat("x", 4096), 0)},
	{"first messages byte by byte", crowdSize, crowdFDs, endless(func(target) string { return announce(firstMessageLimit) }, "x", 10*time.Millisecond)},
	{"heads of short lines", crowdSize, crowdFDs, once(func(to target) string { return to.quick() + shortLines(8000) })},
	{"heads without end", crowdSize, crowdFDs, endless(quickHead, strings.Repeat("x:\r\n", 256), 0)},
	{"empty lines without end", crowdSize, crowdFDs, endless(nothing, strings.Repeat("\r\n", 512), 0)},
	{"names of odd bytes", crowdSize, crowdFDs, once(func(target) string {
		return frame(hello(strings.Repeat("\u0080\u00ff", 200))) + frame(&crwire.Verdict{Proof: []byte("x")})
	})},
	{"handshakes that stop after the first message", crowdSize, crowdFDs, once(func(target) string { return frame(hello("tool")) })},
	{"idle connections", idleSize, idleFDs, once(nothing)},
	{"idle sessions", idleSize, idleFDs, inSession(answerPings)},
	{"streams without end", crowdSize, crowdFDs, inSession(openStreams)},
	{"messages that stop before their end", crowdSize, crowdFDs, inSession(beginMessages)},
	{"pings without end", crowdSize, crowdFDs, inSession(endless(nothing, strings.Repeat(streamFrame(pingFrame, openFlag, 0, 7), 256), 0))},
}

// calls reports whether the process answers a call of the given method over a new connection.
func calls[T any, P interface {
	*T
	proto.Message
}](address, secret, method string, request proto.Message,
) bool {
	e := &crwire.Endpoint{Identity: crwire.Identity{
		Self: crwire.Peer{Name: "ordinary", Incarnation: "1", Role: crwire.RoleTool}, Secret: []byte(secret),
	}}
	defer e.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s, err := e.Session(ctx, address)
	if err != nil {
		return false
	}
	_, err = crwire.Call[T, P](ctx, s, method, request)
	return err == nil
}

func peerTarget(p *process, address string, answered func() bool) target {
	to := target{process: p, address: address, headBytes: headerLimit}
	return callTarget(to, "/", answered)
}

// innerAddress returns the address at which a coordinator accepts other processes.
func (m *machine) innerAddress() string { return m.address(strconv.Itoa(firstOwnPort)) }

func coordinatorPeerTarget(t *testing.T, fds int) target {
	core := startCore(t, nodeMemoryMB, fds)
	return peerTarget(core.process, core.innerAddress(), func() bool {
		return calls[crwire.DocumentFreshnessReply](core.innerAddress(), "", crcoord.MethodFreshness, &crwire.DocumentFreshness{})
	})
}

func productPeerTarget(t *testing.T, fds int) target {
	p := startProductNode(t, net.JoinHostPort(crtest.Host(), "8303"), productMemoryMB, fds)
	return peerTarget(p.process, p.inner, func() bool {
		return calls[crwire.SheddingResponse](p.inner, productSecret, crnode.MethodShedding, &crwire.SheddingRequest{})
	})
}

func controlPeerTarget(t *testing.T, fds int) target {
	p := startControl(t, nodeMemoryMB, fds)
	return peerTarget(p.process, p.inner, func() bool {
		return calls[crwire.IdentityResponse](p.inner, productSecret, "control.identity", &crwire.IdentityRequest{})
	})
}

// TestPeerCrowds guards against clients of the listeners for other processes that make a process exceed the memory or the
// descriptors of its settings, end it or its listener, or keep it from answering a call afterwards. It checks no times.
func TestPeerCrowds(t *testing.T) {
	endureAll(t, peerCrowds, []listener{
		{"coordinator", coordinatorPeerTarget, nodeMemoryMB},
		{"product's node", productPeerTarget, productMemoryMB},
		{"product's control", controlPeerTarget, nodeMemoryMB},
	})
}

// TestNodeStartsAfterCrowd guards against a coordinator that lets no node join after clients have taken its descriptors.
func TestNodeStartsAfterCrowd(t *testing.T) {
	for _, crowd := range []crowd{
		{"idle connections", idleSize, idleFDs, once(nothing)},
		{"connections that are reset and opened again", crowdSize, crowdFDs, reconnect},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			core := startCore(t, nodeMemoryMB, crowd.fds)
			startNode(t, core, "ledger", nodeMemoryMB, crowdFDs)
			to := peerTarget(core.process, core.innerAddress(), nil)
			descriptors := gather(to, crowd.size, crowd.sends)
			qt.Assert(t, to.alive(), qt.IsTrue, qt.Commentf("%s", to.logEnd()))
			startNode(t, core, "front", nodeMemoryMB, crowdFDs)
			qt.Check(t, descriptors <= crowd.fds, qt.IsTrue, qt.Commentf("%d of %d", descriptors, crowd.fds))
		})
	}
}

// TestCrowdLeavesDescriptors guards against clients of one listener that take the descriptors which other listeners, files and
// links of the process need: while they are connected, an operator and a metrics client are answered and a node joins.
func TestCrowdLeavesDescriptors(t *testing.T) {
	for _, crowd := range []crowd{
		{"idle connections", idleSize, idleFDs, once(nothing)},
		{"idle sessions", idleSize, idleFDs, inSession(answerPings)},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			core := startCore(t, nodeMemoryMB, crowd.fds)
			connect(t, peerTarget(core.process, core.innerAddress(), nil), crowd)
			core.await(t, "the coordinator answers an operator", func() bool {
				status, _ := post(core.settings.Listen.Control, platform.ConfigGetTarget(), nil)
				return status == http.StatusOK
			})
			core.await(t, "the coordinator answers a metrics client", func() bool {
				return get(core.metricsAddress(), countersPath, "") == http.StatusOK
			})
			startNode(t, core, "ledger", nodeMemoryMB, crowdFDs)
			descriptors := core.descriptors()
			qt.Check(t, core.alive(), qt.IsTrue)
			qt.Check(t, descriptors <= crowd.fds-spareFDs, qt.IsTrue, qt.Commentf("%d of %d", descriptors, crowd.fds))
		})
	}
}

// connect makes the clients of a crowd send and keeps their connections open until the end of the test.
func connect(t *testing.T, to target, crowd crowd) {
	done := make(chan struct{})
	var sent, clients sync.WaitGroup
	sent.Add(crowd.size)
	for range crowd.size {
		clients.Go(func() { join(to, crowd.sends, sent.Done, done) })
	}
	t.Cleanup(func() {
		close(done)
		clients.Wait()
	})
	sent.Wait()
}
