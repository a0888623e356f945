package crshed

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of UsefulCapacity.
const (
	// DefaultRetryRatio is the default ratio of retries to calls that all levels of a call graph may use together.
	DefaultRetryRatio = 0.2
	// DefaultChainCalls is the number of calls to one service that a chain is assumed to make. From three calls on, the useful
	// capacity hardly depends on the number, because more calls than the retries can save do not pay.
	DefaultChainCalls = 4
	// chainSends is how often one call is assumed to be sent while servers refuse it.
	chainSends = 6
	// capacitySteps is the number of amounts of work that UsefulCapacity compares.
	capacitySteps = 64
	// capacityTolerance is the part of the best number of finished chains that is given up for fewer admitted ones. The optimum
	// is flat, and a chain that fails midway costs more than one that is refused before its first call.
	capacityTolerance = 0.01
)

// ServerCapacity is the concurrency limit of one server and the share of runs that it refuses although it has free slots.
type ServerCapacity struct {
	Limit   int
	Refused float64
}

// UsefulCapacity returns the capacity of servers, in slots, at which the most chains finish when the given work is offered, also
// in slots. A chain makes the given number of calls to the service in sequence and fails with the first call that no server
// accepts. The ratio of retries to calls holds over a period, so that retries may refer to the work of that period, recent, if
// less is admitted now: fewer chains then have more retries each. Servers that refuse the least are filled first. The result is
// the sum of all limits if no server refuses anything.
func UsefulCapacity(servers []ServerCapacity, offered, recent, retries float64, calls int) float64 {
	total, refused := 0.0, 0.0
	for _, s := range servers {
		total += float64(s.Limit)
		refused = max(refused, s.Refused)
	}
	most := min(offered, total)
	if refused == 0 || most <= 0 {
		return total
	}
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b ServerCapacity) int { return cmp.Compare(a.Refused, b.Refused) })
	var finished [capacitySteps + 1]float64
	best := 0.0
	for i := 1; i <= capacitySteps; i++ {
		work := most * float64(i) / capacitySteps
		finished[i] = work * math.Pow(callSuccess(sorted, work, retries*max(recent, work)/work), float64(calls))
		best = max(best, finished[i])
	}
	if finished[capacitySteps] >= best*(1-capacityTolerance) {
		return total
	}
	i := slices.IndexFunc(finished[:], func(f float64) bool { return f >= best*(1-capacityTolerance) })
	return most * float64(i) / capacitySteps
}

// callSuccess returns the probability that a call is accepted when the given amount of work is admitted. The servers are
// ordered by the share that they refuse.
func callSuccess(servers []ServerCapacity, work, retries float64) float64 {
	left, refused, last := work, 0.0, 0.0
	for _, s := range servers {
		part := min(left, float64(s.Limit))
		if part <= 0 {
			break
		}
		left -= part
		refused += part * s.Refused
		last = s.Refused
	}
	// A retry finds the servers that refuse less full, and reaches one of those that refuse the most.
	failed := refused / work
	for waiting, send := failed, 1; send < chainSends; send++ {
		again := min(waiting, retries)
		retries -= again
		failed -= again * (1 - last)
		waiting = again * last
	}
	return 1 - failed
}
