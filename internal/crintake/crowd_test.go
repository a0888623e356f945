package crintake_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/platform"
)

// The memory limits in the settings of the processes, and so the bounds of their resident memory. A process takes 16 MB
// without load. The smallest machines of the platform have 184 MB; the crowds are smaller to match.
const (
	nodeMemoryMB    = 64
	productMemoryMB = 48
	// crowdFDs leaves room for every crowd except that of the idle connections, and idleFDs does not.
	crowdFDs = 1000
	idleFDs  = 256
	// crowdSize is the number of connections of most crowds, idleSize that of the crowd that exceeds idleFDs.
	crowdSize = 300
	idleSize  = 1000
	// endlessTime is how long a client of a crowd continues to send what has no end.
	endlessTime = 3 * time.Second
	// crowdTime bounds the life of a crowd; it is below the time after which an entrance gives up an unfinished head.
	crowdTime = 8 * time.Second
)

// target is a listener of a running process that a crowd connects to. Each head is a request line and headers without the
// empty line at their end.
type target struct {
	*process
	address string
	// others are further listeners of the process; each gets a crowd of the same size at the same time.
	others []string
	// quick is a head of a request that is answered at once, upload one without a length, and hold one that makes the
	// process wait.
	quick, upload, hold func() string
	// answered reports whether an ordinary request was answered.
	answered func() bool
	// headBytes is the size of the largest head that the listener accepts.
	headBytes int
}

// deployment starts a process and returns its listener, with the given limit of descriptors.
type deployment func(t *testing.T, fds int) target

func head(line, host string, headers ...string) func() string {
	return func() string {
		return line + " HTTP/1.1\r\nHost: " + host + "\r\n" + requestHeaders(15*time.Second) + strings.Join(headers, "")
	}
}

const (
	chunked = "Transfer-Encoding: chunked\r\n"
	// unsentBody announces a body that the clients do not send.
	unsentBody = "Content-Length: 100\r\n"
)

func nodeTarget(t *testing.T, fds int, address func(platform.Settings) string) (target, *machine) {
	core := startCore(t, nodeMemoryMB, crowdFDs)
	node := startNode(t, core, "ledger", nodeMemoryMB, fds)
	return target{process: node.process, address: address(node.settings), headBytes: headerLimit}, core
}

func entranceTarget(t *testing.T, fds int) target {
	const host = "ledger." + testHost
	to, _ := nodeTarget(t, fds, func(s platform.Settings) string { return s.Listen.Outbound })
	to.quick, to.upload, to.hold = head("GET "+quickPath+"x", host), head("POST "+quickPath+"x", host, chunked), head("POST "+holdPath+"x", host, unsentBody)
	to.answered = func() bool { return get(to.address, quickPath+"x", host) == http.StatusOK }
	return to
}

func inboundTarget(t *testing.T, fds int) target {
	const host = "ledger." + testHost
	to, core := nodeTarget(t, fds, func(s platform.Settings) string { return s.Listen.Inbound })
	other := startNode(t, core, "front", nodeMemoryMB, crowdFDs)
	to.quick, to.upload, to.hold = head("GET "+quickPath+"x", host), head("POST "+quickPath+"x", host, chunked), head("POST "+holdPath+"x", host, unsentBody)
	to.answered = func() bool { return get(other.settings.Listen.Outbound, quickPath+"x", host) == http.StatusOK }
	return to
}

func controlTarget(t *testing.T, fds int) target {
	to, _ := nodeTarget(t, fds, func(s platform.Settings) string { return s.Listen.Control })
	return callTarget(to, platform.HeartbeatTarget("x"), func() bool {
		// A report without fields is answered with what it lacks.
		status, _ := post(to.address, platform.HeartbeatTarget("x"), []byte("{}"))
		return status == http.StatusBadRequest
	})
}

func coordinatorTarget(t *testing.T, fds int) target {
	core := startCore(t, nodeMemoryMB, fds)
	to := target{process: core.process, address: core.settings.Listen.Control, headBytes: headerLimit}
	return callTarget(to, platform.ConfigPutTarget(), func() bool {
		status, _ := post(to.address, platform.ConfigGetTarget(), nil)
		return status == http.StatusOK
	})
}

func productTarget(t *testing.T, fds int) target {
	// There is no control instance at the address.
	p := startProductNode(t, net.JoinHostPort(crtest.Host(), "8303"), productMemoryMB, fds)
	to := target{process: p.process, address: p.clients, headBytes: 8 << 10}
	return callTarget(to, "/v1/announce", func() bool { return get(p.clients, "/v1/id", "") == http.StatusOK })
}

// callTarget completes a target whose requests wait for their bodies.
func callTarget(to target, path string, answered func() bool) target {
	to.quick, to.upload, to.hold = head("GET "+path, to.address), head("POST "+path, to.address, chunked), head("POST "+path, to.address, unsentBody)
	to.answered = answered
	return to
}

// shortLines returns n header lines with different short names.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// oddLines returns n header lines with names that start and end with the given bytes.
func oddLines(n int, first, last string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s%s%s:\r\n", first, strconv.FormatInt(int64(i), 36), last)
	}
	return b.String()
}

// fill returns the head with as many short lines as fit into the given size, and its end.
func fill(head string, size int) string {
	lines := shortLines(size / 4)
	lines = lines[:size-len(head)-len("\r\n")]
	return head + lines[:strings.LastIndexByte(lines, '\n')+1] + "\r\n"
}

// sender sends one client's part of a crowd and returns when it has sent all or the connection has failed.
type sender func(c net.Conn, to target)

func once(text func(to target) string) sender {
	return func(c net.Conn, to target) { _, _ = c.Write([]byte(text(to))) }
}

// endless sends start and then piece until the connection fails or endlessTime has passed.
func endless(start func(to target) string, piece string, pause time.Duration) sender {
	return func(c net.Conn, to target) {
		_ = c.SetWriteDeadline(time.Now().Add(endlessTime))
		for _, err := c.Write([]byte(start(to))); err == nil; _, err = c.Write([]byte(piece)) {
			time.Sleep(pause)
		}
	}
}

func nothing(target) string { return "" }

func quickHead(to target) string { return to.quick() }

// crowd is a kind of clients with the number of its connections.
type crowd struct {
	name  string
	size  int
	fds   int
	sends sender
}

// crowds are the kinds of clients of listeners for HTTP.
var crowds = []crowd{
	{"unfinished heads of short lines", crowdSize, crowdFDs, once(func(to target) string { return to.quick() + shortLines(8000) })},
	{"one name 10,000 times", crowdSize, crowdFDs, once(func(to target) string { return to.quick() + strings.Repeat("a:\r\n", 10000) })},
	{"names of odd bytes", crowdSize, crowdFDs, once(func(to target) string { return to.quick() + oddLines(4500, "!#$", "^`|~") })},
	{"names of forbidden bytes", crowdSize, crowdFDs, once(func(to target) string { return to.quick() + oddLines(6000, "\x80\xff", "\x00") })},
	{"heads just under the limit", crowdSize, crowdFDs, once(func(to target) string { return fill(to.hold(), to.headBytes) })},
	{"heads just over the limit", crowdSize, crowdFDs, once(func(to target) string { return fill(to.hold(), to.headBytes+1024) })},
	{"heads without end at full speed", crowdSize, crowdFDs, endless(quickHead, strings.Repeat("x:\r\n", 256), 0)},
	{"heads without end byte by byte", crowdSize, crowdFDs, endless(quickHead, "x", 2*time.Millisecond)},
	{"empty lines without end", crowdSize, crowdFDs, endless(nothing, strings.Repeat("\r\n", 512), 0)},
	{"chunk extensions without end", crowdSize, crowdFDs, endless(func(to target) string { return to.upload() + "\r\n1" }, strings.Repeat(";a=b", 256), 0)},
	{"chunks with extensions without end", crowdSize, crowdFDs, endless(func(to target) string { return to.upload() + "\r\n" }, "1;"+strings.Repeat("a", 1000)+"\r\nx\r\n", 0)},
	{"trailers without end", crowdSize, crowdFDs, endless(func(to target) string { return to.upload() + "\r\n0\r\n" }, strings.Repeat("x:\r\n", 256), 0)},
	{"bodies without end", crowdSize, crowdFDs, endless(func(to target) string { return to.upload() + "\r\n" }, "4000\r\n"+strings.Repeat("x", 16<<10)+"\r\n", 0)},
	{"bodies that stop before their end", crowdSize, crowdFDs, once(func(to target) string {
		return to.upload() + "\r\nf0000\r\n" + strings.Repeat("x", 960<<10)
	})},
	{"pipelined heads whose answers are not read", crowdSize, crowdFDs, func(c net.Conn, to target) {
		endless(nothing, strings.Repeat(to.quick()+"\r\n", 16), 0)(c, to)
	}},
	{"idle connections", idleSize, idleFDs, once(nothing)},
}

// gather makes the clients of a crowd send at the same time, keeps their connections open until all have sent, and returns
// the largest number of descriptors that the process has had meanwhile.
func gather(to target, size int, sends sender) int {
	var sent, clients sync.WaitGroup
	all := make(chan struct{})
	for _, address := range append([]string{to.address}, to.others...) {
		at := to
		at.address = address
		sent.Add(size)
		for range size {
			clients.Go(func() { join(at, sends, sent.Done, all) })
		}
	}
	go func() {
		defer close(all)
		sent.Wait()
		// The process still reads and parses what the kernel holds.
		time.Sleep(time.Second)
	}()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clients.Wait()
	}()
	most := 0
	for {
		most = max(most, to.descriptors())
		select {
		case <-ended:
			return most
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// join is one client of a crowd: it sends, calls sent, and keeps its connection until all is closed.
func join(to target, sends sender, sent func(), all <-chan struct{}) {
	c, err := net.Dial("tcp", to.address)
	if err != nil {
		sent()
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetWriteDeadline(time.Now().Add(crowdTime))
	sends(c, to)
	sent()
	<-all
}

// endure lets a crowd meet the target and checks that the process lives within its limits and answers an ordinary request
// afterwards.
func endure(t *testing.T, to target, crowd crowd, memoryMB int64) {
	calm := to.peakMemory(t)
	descriptors := gather(to, crowd.size, crowd.sends)
	qt.Assert(t, to.alive(), qt.IsTrue, qt.Commentf("%s", to.logEnd()))
	answered := false
	for end := time.Now().Add(answerLimit); !answered && to.alive() && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		answered = to.answered()
	}
	peak := to.peakMemory(t)
	t.Logf("memory %d MB, %d MB before; %d descriptors", peak>>20, calm>>20, descriptors)
	qt.Check(t, answered, qt.IsTrue, qt.Commentf("%s", to.logEnd()))
	qt.Check(t, to.alive(), qt.IsTrue)
	qt.Check(t, peak <= memoryMB<<20, qt.IsTrue, qt.Commentf("%d MB of %d", peak>>20, memoryMB))
	qt.Check(t, descriptors <= crowd.fds, qt.IsTrue, qt.Commentf("%d of %d", descriptors, crowd.fds))
}

// TestCrowds guards against clients that make a process exceed the memory or the descriptors of its settings, end it or keep
// it from answering an ordinary request afterwards. It checks no times.
func TestCrowds(t *testing.T) {
	endureAll(t, crowds, []listener{
		{"entrance", entranceTarget, nodeMemoryMB},
		{"inbound", inboundTarget, nodeMemoryMB},
		{"control", controlTarget, nodeMemoryMB},
		{"coordinator", coordinatorTarget, nodeMemoryMB},
		{"product", productTarget, productMemoryMB},
	})
}

// listener is a listener of a process with the memory limit in the settings of the process.
type listener struct {
	name     string
	deploy   deployment
	memoryMB int64
}

// endureAll lets each crowd meet each listener, of a process of its own.
func endureAll(t *testing.T, crowds []crowd, listeners []listener) {
	for _, x := range listeners {
		t.Run(x.name, func(t *testing.T) {
			for _, crowd := range crowds {
				t.Run(crowd.name, func(t *testing.T) { endure(t, x.deploy(t, crowd.fds), crowd, x.memoryMB) })
			}
		})
	}
}
