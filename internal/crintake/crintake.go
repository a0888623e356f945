// Package crintake bounds what a process holds for clients whose requests have not been admitted: the memory of the heads
// that arrive, are parsed and wait, and the number of connections. All listeners of a process share one Budget. Each
// head is charged before net/http parses it.
package crintake

import (
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Shares of the limits of a process.
const (
	// bytesShare divides the memory limit: 1/8 of it may hold heads, as much as bodies may.
	bytesShare = 8
	// readAheadShare divides the budget of heads: 1/2 of it may hold what pipelining clients send ahead, so that these
	// leave room for others.
	readAheadShare = 2
	// minBytes lets a single head of the largest size pass whatever the memory limit.
	minBytes = 4 << 20
	// ConnectionBytes is what a connection takes beside heads and bodies: stacks and the buffers of net/http. An idle one
	// took 10 KB. A sixth of the memory may be taken by connections.
	ConnectionBytes       = 16 << 10
	connectionMemoryShare = 6
	// sessionMemoryPart is the part of the memory limit that other processes of the system may make the process hold. A
	// session takes SessionBytes beside messages and streams.
	sessionMemoryPart = 0.4
	SessionBytes      = 24 << 10
	// reservedDescriptors are for files, listeners and the processes of the system.
	reservedDescriptors = 64
	// descriptorsEach is the number of descriptors that an accepted connection takes: its own and one to a server.
	descriptorsEach = 2
	// softLimitPart is the part of the memory limit above which the garbage collector works harder.
	softLimitPart = 0.8
)

// Defaults of limits that the settings do not give.
const (
	defaultMemoryBytes = 256 << 20
	// DefaultHeaderBytes limits a head where no configuration does; the platform configures 16 KiB.
	DefaultHeaderBytes = 64 << 10
	// maxHeaderLines is above the 5,461 lines of three bytes that fit into the 16 KiB of the platform.
	maxHeaderLines = 8192
	// maxEmptyLines bounds the empty lines before a request; RFC 9112 asks servers to ignore at least one.
	maxEmptyLines = 8
	// maxReleaseWait bounds how long a client's next bytes wait for the memory of connections that were ended for it, which
	// takes less than a millisecond on an idle processor.
	maxReleaseWait = 20 * time.Millisecond
	releasePoll    = time.Millisecond
	// logInterval bounds the log lines about each limit.
	logInterval = 5 * time.Second
)

// Bound is a limit that a client met.
type Bound uint8

// The bounds.
const (
	notBound Bound = iota
	// HeadBytes is the largest size of a head.
	HeadBytes
	// HeadLines is the largest number of lines of a head.
	HeadLines
	// EmptyLines is the largest number of empty lines before a request.
	EmptyLines
	// Memory is the budget of all heads together.
	Memory
	// Connections is the number of connections of a listener.
	Connections
	boundCount
)

// String returns the name of the bound, which is also the end of its counter's name.
func (b Bound) String() string {
	return [boundCount]string{"none", "head_bytes", "head_lines", "empty_lines", "memory", "connections"}[b]
}

// Counters counts by name.
type Counters interface {
	Add(name string, delta int64)
}

// counterPrefix starts the names of the counters of the bounds.
const counterPrefix = "intake_"

// CounterNames returns the names of the counters of all bounds.
func CounterNames() []string {
	var out []string
	for b := notBound + 1; b < boundCount; b++ {
		out = append(out, counterPrefix+b.String())
	}
	return out
}

// Budget bounds what the listeners of a process hold for clients. Set the exported fields before the first Listen.
type Budget struct {
	// MemoryBytes and Descriptors are the limits of the process; 0 means a default and the limit of the operating system.
	MemoryBytes int64
	Descriptors int
	Counters    Counters
	// Log, when set, is called at most once in logInterval for each bound that clients meet on a listener.
	Log func(now time.Time, listener string, bound Bound)

	used     atomic.Int64
	mu       sync.Mutex
	conns    map[*conn]struct{}
	lastLogs [boundCount]time.Time
}

// Bytes returns the largest sum of the charges.
func (b *Budget) Bytes() int64 { return max(b.memory()/bytesShare, minBytes) }

// Used returns the sum of the present charges.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) memory() int64 {
	if b.MemoryBytes > 0 {
		return b.MemoryBytes
	}
	return defaultMemoryBytes
}

// MaxConnections returns the number of connections that all listeners together accept.
func (b *Budget) MaxConnections() int {
	return max(min((b.descriptors()-reservedDescriptors)/descriptorsEach, int(b.memory()/connectionMemoryShare/ConnectionBytes)), 1)
}

// MaxSessions returns the number of connections from other processes of the system that leave room for the given share of
// the clients' connections.
func (b *Budget) MaxSessions(clients Share) int {
	left := b.descriptors() - reservedDescriptors - descriptorsEach*clients.of(b.MaxConnections())
	return max(min(left, int(b.SessionMemory()/SessionBytes)), 1)
}

// SessionMemory returns what other processes of the system may make the process hold, in bytes.
func (b *Budget) SessionMemory() int64 { return int64(float64(b.memory()) * sessionMemoryPart) }

// descriptors returns the number of descriptors that the process may open.
func (b *Budget) descriptors() int {
	system := systemDescriptors()
	if b.Descriptors <= 0 {
		return system
	}
	return min(b.Descriptors, system)
}

// systemDescriptors returns the number of descriptors that the operating system lets the process open.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return 1 << 20
	}
	return int(limit.Cur)
}

// SetSoftMemoryLimit makes the garbage collector keep the process below its memory limit, unless the environment sets a
// limit or there is none.
func SetSoftMemoryLimit(memoryBytes int64) {
	if memoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * softLimitPart))
	}
}

// met counts a client that met a bound, and logs it.
func (b *Budget) met(now time.Time, listener string, bound Bound) {
	if b.Counters != nil {
		b.Counters.Add(counterPrefix+bound.String(), 1)
	}
	b.mu.Lock()
	logs := b.Log != nil && now.Sub(b.lastLogs[bound]) >= logInterval
	if logs {
		b.lastLogs[bound] = now
	}
	b.mu.Unlock()
	if logs {
		b.Log(now, listener, bound)
	}
}

// reserve charges n bytes and ends the largest holders that wait for their clients until the sum fits. It reports false,
// and charges nothing, when c itself is the largest or no other can be ended.
func (b *Budget) reserve(now time.Time, c *conn, n int64) bool {
	if b.used.Add(n) <= b.Bytes() || n <= 0 {
		return true
	}
	ended, ok := b.makeRoom(c, n)
	for _, listener := range ended {
		b.met(now, listener, Memory)
	}
	if !ok {
		b.used.Add(-n)
		return false
	}
	// The memory of those that were ended is free only when their goroutines have returned.
	for waited := time.Duration(0); b.used.Load() > b.Bytes() && waited < maxReleaseWait; waited += releasePoll {
		time.Sleep(releasePoll)
	}
	return true
}

// makeRoom ends the largest holders until the sum without them fits, and returns the names of their listeners. Holders that
// were told to end before and still unwind count as gone.
func (b *Budget) makeRoom(c *conn, n int64) (ended []string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	excess := b.used.Load() - b.Bytes()
	for o := range b.conns {
		if o != c && o.evicted.Load() != 0 {
			excess -= o.charge.Load()
		}
	}
	for excess > 0 {
		victim := b.largestWaiting(c, c.charge.Load()+n)
		if victim == nil {
			return ended, false
		}
		if victim.evict(Memory) {
			excess -= victim.charge.Load()
			ended = append(ended, victim.listener.name)
		}
	}
	return ended, true
}

// largestWaiting returns the holder with the largest charge above the given one whose client has not sent its request
// completely; nil if there is none. The caller holds the lock.
func (b *Budget) largestWaiting(not *conn, above int64) *conn {
	var largest *conn
	for o := range b.conns {
		if n := o.charge.Load(); o != not && n > above && o.evicted.Load() == 0 && o.waits() {
			largest, above = o, n
		}
	}
	return largest
}
