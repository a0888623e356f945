package crforward

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// Positions of the fields in the hop header of a call.
const (
	callService = iota
	callRoute
	callTimeLeft
	callImportance
	callCaller
	callFlags
	callDue
	callRate
	callFields
)

// Flags in the hop header of a call.
const (
	flagNonRepeatable = "o"
	// flagCallerIdle is set if the server beside the entrance ran nothing when the request arrived.
	flagCallerIdle = "i"
	// flagCountedAsDemand is set if another gate of the service has counted the call as demand.
	flagCountedAsDemand = "c"
	// flagRanked is set if the importance combines the priorities of the organisation and of the route.
	flagRanked = "k"
	// flagRepeat is set if the run counts as a repeat, so that its calls do too.
	flagRepeat = "r"
)

// formatCall encodes the call data that the gate needs.
func formatCall(c *call, now time.Time) string {
	flags := ""
	if c.nonRepeatable {
		flags += flagNonRepeatable
	}
	if c.callerIdle {
		flags += flagCallerIdle
	}
	if c.countedAsDemand {
		flags += flagCountedAsDemand
	}
	if c.ranked {
		flags += flagRanked
	}
	if c.repeat {
		flags += flagRepeat
	}
	return strings.Join([]string{
		url.QueryEscape(c.service), url.QueryEscape(c.route), formatMilliseconds(c.deadline.Sub(now)),
		strconv.FormatUint(uint64(c.importance), 36), url.QueryEscape(c.caller), flags,
		formatMilliseconds(c.due.Sub(now)), strconv.FormatFloat(c.rates.Of(c.service), 'f', rateDigits, 64),
	}, ";")
}

func parseCall(line string, c *call, now time.Time) error {
	f := strings.Split(line, ";")
	if len(f) != callFields {
		return crcode.New(crcode.MalformedMessage, "a call from another node has %d fields", len(f))
	}
	left, ok := parseMilliseconds(f[callTimeLeft])
	due, okDue := parseMilliseconds(f[callDue])
	importance, err := strconv.ParseUint(f[callImportance], 36, 32)
	share, shareErr := strconv.ParseFloat(f[callRate], 64)
	if !ok || !okDue || err != nil || shareErr != nil || f[callService] == "" {
		return crcode.New(crcode.MalformedMessage, "a call from another node has malformed fields")
	}
	for i, to := range map[int]*string{callService: &c.service, callRoute: &c.route, callCaller: &c.caller} {
		if *to, err = url.QueryUnescape(f[i]); err != nil {
			return crcode.New(crcode.MalformedMessage, "a call from another node: %v", err)
		}
	}
	c.deadline, c.due, c.importance = now.Add(left), now.Add(due), uint32(importance)
	c.nonRepeatable = strings.Contains(f[callFlags], flagNonRepeatable)
	c.callerIdle = strings.Contains(f[callFlags], flagCallerIdle)
	c.countedAsDemand = strings.Contains(f[callFlags], flagCountedAsDemand)
	c.ranked = strings.Contains(f[callFlags], flagRanked)
	c.repeat = strings.Contains(f[callFlags], flagRepeat)
	c.rates = crshed.Rates{c.service: share}
	return nil
}

// Positions of the fields in the hop header of an answer.
const (
	answerCode = iota
	answerTook
	answerRetry
	answerLoad
	answerPressure
	answerOrigin
	answerDownstreamFailed
	answerBoard
	answerCost
	answerFields
)

// Limits of the load and cost data in an answer.
const (
	// maxBoardEntries limits the downstream services whose pressure an answer reports.
	maxBoardEntries = 4
	// maxCostEntries limits the services of the cost that an answer reports.
	maxCostEntries = 8
	// answersPerCost is the number of answers of which one reports the cost of its route; costs change slowly.
	answersPerCost = 8
	// initialCostAnswers is the number of first answers that all report a cost, so that entrances know the costs
	// within a second.
	initialCostAnswers = 256
)

// reportsCost reports whether the next answer includes the cost of its route.
func (n *Node) reportsCost() bool {
	k := n.answers.Add(1)
	return k < initialCostAnswers || k%answersPerCost == 0
}

// formatAnswer encodes the result of a call, with the load, pressures and cost that its sender uses.
func (n *Node) formatAnswer(c *call, r *reply, now time.Time) string {
	load, pressure, downstreamFailed := "", "", ""
	if r.downstreamFailed {
		downstreamFailed = "1"
	}
	if r.load != nil {
		load = strconv.Itoa(r.load.InFlight) + "," + strconv.Itoa(r.load.Limit) + "," + strconv.Itoa(r.load.Queued) + formatRefused(r.refused)
		pressure = strconv.FormatFloat(r.pressure, 'f', 2, 64)
	}
	var board, cost []string
	for _, e := range n.board.Entries(now, maxBoardEntries) {
		if e.Service != n.Settings.Service {
			board = append(board, url.QueryEscape(e.Service)+"="+strconv.FormatFloat(e.Pressure, 'f', 2, 64)+"/"+formatMilliseconds(e.Age))
			if e.Refusing && load != "" {
				load += "," + refusingMark + url.QueryEscape(e.Service)
			}
		}
	}
	if costs := n.ledger.Cost(c.route); costs != nil && n.reportsCost() {
		for _, service := range costs.Top(maxCostEntries) {
			cost = append(cost, fmt.Sprintf("%s=%.0f", url.QueryEscape(service), costs[service]*1000))
		}
	}
	return strings.Join([]string{
		strconv.Itoa(int(r.code)), formatMilliseconds(r.took), formatMilliseconds(r.retryAfter), load, pressure,
		strconv.Itoa(int(r.origin)), downstreamFailed, strings.Join(board, ","), strings.Join(cost, ","),
	}, ";")
}

func parseAnswer(line string, r *reply) error {
	f := strings.Split(line, ";")
	if len(f) != answerFields {
		return crcode.New(crcode.MalformedMessage, "an answer of another node has %d fields", len(f))
	}
	code, err := strconv.ParseUint(f[answerCode], 10, 16)
	took, okTook := parseMilliseconds(f[answerTook])
	retry, okRetry := parseMilliseconds(f[answerRetry])
	from, originErr := strconv.ParseUint(f[answerOrigin], 10, 8)
	if err != nil || originErr != nil || !okTook || !okRetry {
		return crcode.New(crcode.MalformedMessage, "an answer of another node has malformed fields")
	}
	r.code, r.took, r.retryAfter, r.origin = crcode.Code(code), took, retry, origin(from)
	r.downstreamFailed = f[answerDownstreamFailed] != ""
	if f[answerLoad] != "" {
		if r.load, err = parseLoad(f[answerLoad]); err == nil {
			r.refused = parseRefused(f[answerLoad])
			r.pressure, err = strconv.ParseFloat(f[answerPressure], 64)
		}
	}
	if err == nil {
		r.board, err = parseBoard(f[answerBoard])
		markRefusing(r.board, f[answerLoad])
	}
	if err == nil {
		r.cost, err = parseCost(f[answerCost])
	}
	if err != nil {
		return crcode.New(crcode.MalformedMessage, "an answer of another node: %v", err)
	}
	return nil
}

func parseLoad(text string) (*crrouter.Feedback, error) {
	var numbers [3]int
	rest := text
	for i := range numbers {
		var n string
		var err error
		n, rest, _ = strings.Cut(rest, ",")
		if numbers[i], err = strconv.Atoi(n); err != nil {
			return nil, err
		}
	}
	return &crrouter.Feedback{InFlight: numbers[0], Limit: numbers[1], Queued: numbers[2]}, nil
}

// parsePairs calls handle for each name=value pair of a comma-separated list.
func parsePairs(list string, handle func(name, value string) error) error {
	if list == "" {
		return nil
	}
	for _, p := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(p, "=")
		name, err := url.QueryUnescape(name)
		if err == nil {
			err = handle(name, value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func parseBoard(list string) (out []crshed.Entry, err error) {
	err = parsePairs(list, func(name, value string) error {
		pressure, age, _ := strings.Cut(value, "/")
		e := crshed.Entry{Service: name}
		var ok bool
		if e.Age, ok = parseMilliseconds(age); !ok {
			return crcode.New(crcode.MalformedMessage, "age %q", age)
		}
		e.Pressure, err = strconv.ParseFloat(pressure, 64)
		out = append(out, e)
		return err
	})
	return out, err
}

func parseCost(list string) (out crcost.Vector, err error) {
	err = parsePairs(list, func(name, value string) error {
		ms, err := strconv.ParseFloat(value, 64)
		if out == nil {
			out = crcost.Vector{}
		}
		out[name] = ms / 1000
		return err
	})
	return out, err
}
