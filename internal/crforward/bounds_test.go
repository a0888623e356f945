package crforward

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crintake"
)

// Sizes that other packages keep to themselves or that were estimated; docs/design/memory_bounds.md says which.
const (
	outgoingBytes   = 9 << 10
	documentBytes   = 4 << 20
	watchedServices = 1024
	serversKnown    = 20
	serverBytes     = 200
	logLines        = 4096
	logLineBytes    = 512
	histogramBytes  = 64 * 12 << 10
	suspectEntries  = 4096
	suspectBytes    = 128
	hintBytes       = 2048 * 16 * 32
	restingBytes    = 16 << 20
)

// TestMemoryBounds guards against bounds whose sum exceeds the memory of the smallest machine, and against a page that
// names others.
func TestMemoryBounds(t *testing.T) {
	const memory, descriptors = 184 << 20, 4100
	n := &Node{Settings: Settings{MemoryBytes: memory, MaxDescriptors: descriptors}}
	n.prepare()
	defer n.giveUp()
	b := crintake.Budget{MemoryBytes: memory, Descriptors: descriptors}
	connections := int64(b.MaxConnections())
	page, err := os.ReadFile("../../docs/design/memory_bounds.md")
	qt.Assert(t, err, qt.IsNil)
	_, node, _ := strings.Cut(string(page), "## Node")
	node, _, _ = strings.Cut(node, "\n## ")
	bounds := []struct {
		what  string
		bytes int64
	}{
		{"heads that arrive", b.Bytes()},
		{"buffered bodies of requests", n.bodyBudget.limit},
		{"buffered answers", n.answerBudget.limit},
		{"accepted connections", connections * crintake.ConnectionBytes},
		{"connections to servers", connections * outgoingBytes},
		{"configuration", 4 * documentBytes},
		{"directory", watchedServices * serversKnown * serverBytes},
		{"log lines", logLines * logLineBytes},
		{"latency histograms", histogramBytes},
		{"suspects", int64(fingerprintKinds) * suspectEntries * suspectBytes},
		{"hints", hintBytes},
		{"program", restingBytes},
	}
	rows := strings.Split(node[strings.Index(node, "| --- |"):], "\n")[1:]
	var sum int64
	for i, x := range bounds {
		sum += x.bytes
		qt.Check(t, strings.HasPrefix(rows[i], "| "+x.what), qt.IsTrue, qt.Commentf("%s: %s", x.what, rows[i]))
		qt.Check(t, strings.HasSuffix(rows[i], fmt.Sprintf("| %d |", (x.bytes+1<<19)>>20)), qt.IsTrue, qt.Commentf("%s has %d bytes: %s", x.what, x.bytes, rows[i]))
	}
	qt.Check(t, strings.TrimSpace(rows[len(bounds)]), qt.Equals, "")
	qt.Check(t, sum <= memory, qt.IsTrue, qt.Commentf("%d MB", sum>>20))
}
