package crsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
)

// Settings of the crowd, clients that do not keep to any protocol.
const (
	// crowdDialTimeout bounds an attempt to connect; processes are killed and frozen meanwhile.
	crowdDialTimeout = 500 * time.Millisecond
	// crowdSendTime bounds how long a client sends what has no end, crowdHoldTime how long it keeps the connection after it.
	crowdSendTime = time.Second
	crowdHoldTime = time.Second
	// limitInterval is the interval at which memory and descriptors of the processes are compared with their limits.
	limitInterval = 200 * time.Millisecond
	// memoryLimitMB and descriptorLimit are the limits in the settings of the processes.
	memoryLimitMB   = 128
	descriptorLimit = 1000
)

// misbehaviour is what a client of the crowd sends: start, then piece until crowdSendTime has passed.
type misbehaviour struct{ start, piece string }

// misbehaviours returns the kinds of clients.
func misbehaviours() []misbehaviour {
	head := "GET " + lookPath + "x HTTP/1.1\r\nHost: " + host + "\r\n"
	upload := "POST " + recordPath + "x HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	var short, odd strings.Builder
	for i := range 4000 {
		short.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
		odd.WriteString("!#$" + strconv.FormatInt(int64(i), 36) + "^`|~\x80:\r\n")
	}
	return []misbehaviour{
		{},
		{start: head + short.String()},
		{start: head + short.String() + "\r\n"},
		{start: head + odd.String()},
		{start: head, piece: strings.Repeat("x:\r\n", 256)},
		{piece: strings.Repeat("\r\n", 512)},
		{start: upload + "f0000\r\n" + strings.Repeat("x", 64<<10)},
		{start: upload, piece: "4000\r\n" + strings.Repeat("x", 16<<10) + "\r\n"},
		// The first message of another process, which has a length of four bytes in front.
		{start: "\x00\x00\x03\xe8" + strings.Repeat("x", 500)},
		{start: "\xff\xff\xff\xff", piece: strings.Repeat("\xff", 4096)},
	}
}

// runCrowd is one client of the crowd: until ctx ends it connects to a listener of a process, misbehaves and leaves.
func (r *run) runCrowd(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(1000+number)))
	kinds, targets := misbehaviours(), r.listeners()
	dialer := net.Dialer{Timeout: crowdDialTimeout}
	for ctx.Err() == nil {
		target, kind := targets[rng.IntN(len(targets))], kinds[rng.IntN(len(kinds))]
		hold, reset := time.Duration(rng.Float64()*float64(crowdHoldTime)), rng.IntN(2) == 0
		c, err := dialer.DialContext(ctx, "tcp", target)
		if err != nil {
			// The process is down, or its queue of connections is full.
			_ = crpause.For(ctx, 50*time.Millisecond)
			continue
		}
		kind.send(c)
		_ = crpause.For(ctx, hold)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// send sends until the connection fails or crowdSendTime has passed.
func (m misbehaviour) send(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(crowdSendTime))
	_, err := io.WriteString(c, m.start)
	for m.piece != "" && err == nil {
		_, err = io.WriteString(c, m.piece)
	}
}

// listeners returns the addresses of all listeners of the processes, without the proxies.
func (r *run) listeners() []string {
	var out []string
	for i := range r.cores {
		for _, port := range []string{innerPort, controlPort, metricsPort} {
			out = append(out, r.address(firstCore+i, port))
		}
	}
	for i := range r.nodes {
		for _, port := range []string{inboundPort, readyPort, entrancePort, controlPort, metricsPort} {
			out = append(out, r.address(firstSidecar+i, port))
		}
	}
	return out
}

var residentPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// watchLimits reports processes that exceed the limits of their settings, or that end although nobody has ended them, until
// ctx ends.
func (r *run) watchLimits(ctx context.Context) {
	reported := map[int]bool{}
	for crpause.For(ctx, limitInterval) == nil {
		for _, p := range append(append([]*process(nil), r.nodes...), r.cores...) {
			if pid, exceeded := p.exceeded(); exceeded != "" && !reported[pid] {
				reported[pid] = true
				r.promises.report("limits", "", p.settings.NodeName+": "+exceeded)
			}
		}
	}
}

// exceeded returns the process id and the limit that the process exceeds, or that it has ended by itself; empty otherwise.
func (p *process) exceeded() (pid int, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.ending {
		return 0, ""
	}
	pid = p.cmd.Process.Pid
	select {
	case <-p.done:
		return pid, "it ended by itself"
	default:
	}
	// A process that has just ended has no status.
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		if m := residentPattern.FindSubmatch(text); m != nil {
			if kb, err := strconv.Atoi(string(m[1])); err == nil && kb > memoryLimitMB<<10 {
				return pid, fmt.Sprintf("%d MB of memory, %d allowed", kb>>10, memoryLimitMB)
			}
		}
	}
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(entries) > descriptorLimit {
		return pid, fmt.Sprintf("%d descriptors, %d allowed", len(entries), descriptorLimit)
	}
	return pid, ""
}
