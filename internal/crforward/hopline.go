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

// Fields of the line of a call, in this order.
const (
	callService = iota
	callRoute
	callLeft
	callWorth
	callCaller
	callFlags
	callDue
	callShare
	callFields
)

// Flags of a call.
const (
	flagOnce = "o"
	// flagIdle tells that the server beside the entrance ran nothing when the request came.
	flagIdle = "i"
	// flagCounted tells that another gate of the service has counted the call as asked for.
	flagCounted = "c"
)

// formatCall writes what the gate needs to know of a call.
func formatCall(c *call, now time.Time) string {
	flags := ""
	if c.once {
		flags += flagOnce
	}
	if c.idle {
		flags += flagIdle
	}
	if c.counted {
		flags += flagCounted
	}
	return strings.Join([]string{
		url.QueryEscape(c.service), url.QueryEscape(c.route), formatMilliseconds(c.deadline.Sub(now)),
		strconv.FormatUint(uint64(c.worth), 36), url.QueryEscape(c.caller), flags,
		formatMilliseconds(c.due.Sub(now)), strconv.FormatFloat(c.rates.Of(c.service), 'f', rateDigits, 64),
	}, ";")
}

func parseCall(line string, c *call, now time.Time) error {
	f := strings.Split(line, ";")
	if len(f) != callFields {
		return crcode.New(crcode.MalformedMessage, "a call from another node has %d fields", len(f))
	}
	left, ok := milliseconds(f[callLeft])
	due, okDue := milliseconds(f[callDue])
	worth, err := strconv.ParseUint(f[callWorth], 36, 32)
	share, shareErr := strconv.ParseFloat(f[callShare], 64)
	if !ok || !okDue || err != nil || shareErr != nil || f[callService] == "" {
		return crcode.New(crcode.MalformedMessage, "a call from another node has malformed fields")
	}
	for i, to := range map[int]*string{callService: &c.service, callRoute: &c.route, callCaller: &c.caller} {
		if *to, err = url.QueryUnescape(f[i]); err != nil {
			return crcode.New(crcode.MalformedMessage, "a call from another node: %v", err)
		}
	}
	c.deadline, c.due, c.worth = now.Add(left), now.Add(due), uint32(worth)
	c.once = strings.Contains(f[callFlags], flagOnce)
	c.idle = strings.Contains(f[callFlags], flagIdle)
	c.counted = strings.Contains(f[callFlags], flagCounted)
	c.rates = crshed.Rates{c.service: share}
	return nil
}

// Fields of the line of an answer, in this order.
const (
	answerCode = iota
	answerTook
	answerRetry
	answerLoad
	answerPressure
	answerOrigin
	answerExcused
	answerBoard
	answerCost
	answerFields
)

// Bounds of what an answer tells of the load below.
const (
	// boardEntries bounds the services on an answer.
	boardEntries = 4
	// costEntries bounds the services of a cost on an answer.
	costEntries = 8
	// costEvery is how many answers there are to one that tells costs; they change slowly.
	costEvery = 8
	// costFirst is how many of the first answers tell costs each, so that entrances learn them within a second.
	costFirst = 256
)

// tellsCost reports whether an answer whose cost is known tells it.
func (n *Node) tellsCost() bool {
	k := n.answers.Add(1)
	return k < costFirst || k%costEvery == 0
}

// formatAnswer writes how a call ended and what its sender may learn from it.
func (n *Node) formatAnswer(c *call, r *reply, now time.Time) string {
	load, pressure, excused := "", "", ""
	if r.excused {
		excused = "1"
	}
	if r.load != nil {
		load = strconv.Itoa(r.load.InFlight) + "," + strconv.Itoa(r.load.Limit) + "," + strconv.Itoa(r.load.Queued)
		pressure = strconv.FormatFloat(r.pressure, 'f', 2, 64)
	}
	var board, cost []string
	for _, e := range n.board.Entries(now, boardEntries) {
		if e.Service != n.Settings.Service {
			board = append(board, url.QueryEscape(e.Service)+"="+strconv.FormatFloat(e.Pressure, 'f', 2, 64)+"/"+formatMilliseconds(e.Age))
		}
	}
	if costs := n.ledger.Cost(c.route); costs != nil && n.tellsCost() {
		for _, service := range costs.Top(costEntries) {
			cost = append(cost, fmt.Sprintf("%s=%.0f", url.QueryEscape(service), costs[service]*1000))
		}
	}
	return strings.Join([]string{
		strconv.Itoa(int(r.code)), formatMilliseconds(r.took), formatMilliseconds(r.retryIn), load, pressure,
		strconv.Itoa(int(r.origin)), excused, strings.Join(board, ","), strings.Join(cost, ","),
	}, ";")
}

func parseAnswer(line string, r *reply) error {
	f := strings.Split(line, ";")
	if len(f) != answerFields {
		return crcode.New(crcode.MalformedMessage, "an answer of another node has %d fields", len(f))
	}
	code, err := strconv.ParseUint(f[answerCode], 10, 16)
	took, okTook := milliseconds(f[answerTook])
	retry, okRetry := milliseconds(f[answerRetry])
	from, originErr := strconv.ParseUint(f[answerOrigin], 10, 8)
	if err != nil || originErr != nil || !okTook || !okRetry {
		return crcode.New(crcode.MalformedMessage, "an answer of another node has malformed fields")
	}
	r.code, r.took, r.retryIn, r.origin = crcode.Code(code), took, retry, origin(from)
	r.excused = f[answerExcused] != ""
	if f[answerLoad] != "" {
		if r.load, err = parseLoad(f[answerLoad]); err == nil {
			r.pressure, err = strconv.ParseFloat(f[answerPressure], 64)
		}
	}
	if err == nil {
		r.board, err = parseBoard(f[answerBoard])
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

// pairs splits a list of name=value.
func pairs(list string, take func(name, value string) error) error {
	if list == "" {
		return nil
	}
	for _, p := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(p, "=")
		name, err := url.QueryUnescape(name)
		if err == nil {
			err = take(name, value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func parseBoard(list string) (out []crshed.Entry, err error) {
	err = pairs(list, func(name, value string) error {
		pressure, age, _ := strings.Cut(value, "/")
		e := crshed.Entry{Service: name}
		var ok bool
		if e.Age, ok = milliseconds(age); !ok {
			return crcode.New(crcode.MalformedMessage, "age %q", age)
		}
		e.Pressure, err = strconv.ParseFloat(pressure, 64)
		out = append(out, e)
		return err
	})
	return out, err
}

func parseCost(list string) (out crcost.Vector, err error) {
	err = pairs(list, func(name, value string) error {
		ms, err := strconv.ParseFloat(value, 64)
		if out == nil {
			out = crcost.Vector{}
		}
		out[name] = ms / 1000
		return err
	})
	return out, err
}
