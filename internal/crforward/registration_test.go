package crforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testHeartbeat = 1500 * time.Millisecond

// reportStep is a report at a time, with its expected effect.
type reportStep struct {
	at      time.Duration
	report  Report
	verdict registrationVerdict
	// id and draining are those of the server that is registered afterwards.
	id       string
	draining bool
}

// TestReportOrder guards against a single report with too large a sequence number or start time, which makes all later
// reports of the server count as stale.
func TestReportOrder(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	server := func(sequence uint64, draining bool) Report {
		return Report{ID: "a", Born: start, Sequence: sequence, Slots: 4, Draining: draining}
	}
	forged := Report{ID: "a", Born: start.Add(30 * time.Second), Sequence: 1, Slots: 4}
	for name, steps := range map[string][]reportStep{
		"in order": {
			{0, server(1, false), reportJoined, "a", false},
			{testHeartbeat, server(2, false), reportRenewed, "a", false},
			{2 * testHeartbeat, server(3, true), reportDrains, "a", true},
			{3 * testHeartbeat, server(4, false), reportRenewed, "a", true},
			{3 * testHeartbeat, server(2, false), reportStale, "a", true},
		},
		"a sequence that is too large": {
			{0, server(1, false), reportJoined, "a", false},
			{0, server(1<<60, false), reportRenewed, "a", false},
			{testHeartbeat, server(2, false), reportStale, "a", false},
			{2 * testHeartbeat, server(3, true), reportDrains, "a", true},
		},
		"a start that is too late": {
			{0, server(1, false), reportJoined, "a", false},
			{0, forged, reportJoined, "a", false},
			{testHeartbeat, server(2, true), reportRefused, "a", false},
			{2 * testHeartbeat, server(3, true), reportJoined, "a", true},
		},
		"late reports of an earlier lifetime, all at once": {
			{0, server(1, false), reportJoined, "a", false},
			{0, Report{ID: "b", Born: start.Add(time.Second), Sequence: 1, Slots: 4}, reportJoined, "b", false},
			{3 * testHeartbeat, server(2, false), reportRefused, "b", false},
			{3 * testHeartbeat, server(3, false), reportRefused, "b", false},
			{3*testHeartbeat + 100*time.Millisecond, server(4, true), reportRefused, "b", false},
		},
		"an earlier lifetime beside one that reports": {
			{0, Report{ID: "b", Born: start.Add(time.Second), Sequence: 1, Slots: 4}, reportJoined, "b", false},
			{testHeartbeat, server(2, false), reportRefused, "b", false},
			{2 * testHeartbeat, Report{ID: "b", Born: start.Add(time.Second), Sequence: 2, Slots: 4}, reportRenewed, "b", false},
			{3 * testHeartbeat, server(3, false), reportRefused, "b", false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var reg *registration
			for i, s := range steps {
				var verdict registrationVerdict
				reg, verdict = evaluateReport(start.Add(s.at), testHeartbeat, reg, s.report, false)
				step := qt.Commentf("step %d", i)
				qt.Assert(t, verdict, qt.Equals, s.verdict, step)
				qt.Assert(t, reg.ID, qt.Equals, s.id, step)
				qt.Assert(t, reg.Draining, qt.Equals, s.draining, step)
			}
		})
	}
}

// TestLateReportShowsLife guards against a server that counts as silent because the sequence number of one of its
// reports was too large.
func TestLateReportShowsLife(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := Report{ID: "a", Born: now, Sequence: 1 << 60, Slots: 4}
	reg, _ := evaluateReport(now, testHeartbeat, nil, r, false)
	r.Sequence = 2
	now = now.Add(time.Minute)
	reg, _ = evaluateReport(now, testHeartbeat, reg, r, false)
	qt.Assert(t, reg.lastReport, qt.Equals, now)
}
