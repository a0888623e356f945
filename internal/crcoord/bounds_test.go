package crcoord

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crintake"
)

// Sizes that other packages keep to themselves or that were estimated; docs/design/memory_bounds.md says which.
const (
	tickBytes        = 1 << 20
	waitingTicks     = 10
	entryBytes       = 512
	uncommittedBytes = 16 << 20
	documentBytes    = 4 << 20
	noticeServices   = 128
	noticeBytes      = 512
	// nodeStreams is the number of streams that a node keeps open: its watches and some calls at the same time.
	nodeStreams  = 5
	sessionBytes = 24 << 10
	streamBytes  = 8 << 10
	// sessions is the number of nodes on one of 14 coordinators at full size, sessionsAfterLoss that after one is lost.
	sessions          = 1430
	sessionsAfterLoss = sessions * 14 / 13
	logLines          = 4096
	logLineBytes      = 512
	restingBytes      = 15 << 20
	connectionsHeld   = 2826
)

// TestMemoryBounds guards against bounds whose sum exceeds the memory of the smallest machine, and against a page that
// names others.
func TestMemoryBounds(t *testing.T) {
	const memory, descriptors = 280 << 20, 4100
	b := crintake.Budget{MemoryBytes: memory, Descriptors: descriptors}
	page, err := os.ReadFile("../../docs/design/memory_bounds.md")
	qt.Assert(t, err, qt.IsNil)
	_, coordinator, _ := strings.Cut(string(page), "## Coordinator")
	coordinator, _, _ = strings.Cut(coordinator, "\n## ")
	bounds := []struct {
		what  string
		bytes int64
	}{
		{"heads and bodies of operators", b.Bytes()},
		{"accepted connections", int64(float64(b.MaxConnections())*(apiShare+adminShare)) * crintake.ConnectionBytes},
		{"updates of nodes", waitingTicks * tickBytes},
		{"directory", crdirectory.MaxEntries * entryBytes},
		{"log that is not committed", uncommittedBytes},
		{"log since the last snapshot", 2 * logSnapshotBytes},
		{"configuration", 4 * documentBytes},
		{"notices", crdirectory.MaxNotices * noticeBytes * noticeServices},
		{"sessions of nodes", b.SessionMemory()},
		{"log lines", logLines * logLineBytes},
		{"program", restingBytes},
	}
	rows := strings.Split(coordinator[strings.Index(coordinator, "| --- |"):], "\n")[1:]
	var sum int64
	for i, x := range bounds {
		sum += x.bytes
		qt.Check(t, strings.HasPrefix(rows[i], "| "+x.what), qt.IsTrue, qt.Commentf("%s: %s", x.what, rows[i]))
		qt.Check(t, strings.HasSuffix(rows[i], fmt.Sprintf("| %d |", (x.bytes+1<<19)>>20)), qt.IsTrue, qt.Commentf("%s has %d bytes: %s", x.what, x.bytes, rows[i]))
	}
	qt.Check(t, strings.TrimSpace(rows[len(bounds)]), qt.Equals, "")
	qt.Check(t, sum <= memory, qt.IsTrue, qt.Commentf("%d MB", sum>>20))
	qt.Check(t, sessionsAfterLoss*(sessionBytes+nodeStreams*streamBytes) <= b.SessionMemory(), qt.IsTrue)
	qt.Check(t, b.MaxSessions(apiShare+adminShare), qt.Equals, connectionsHeld)
	qt.Check(t, sessionsAfterLoss <= b.MaxSessions(apiShare+adminShare), qt.IsTrue, qt.Commentf("%d", b.MaxSessions(apiShare+adminShare)))
}
