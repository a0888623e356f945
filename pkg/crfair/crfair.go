// Package crfair divides the capacity of a short service among organisations, so that one that sends several times its usual
// work takes nothing from the others: work that is usual for its organisation comes first, in the order of the priorities, and
// the excess of all organisations gets the rest. An organisation that grows no more than the others together exceeds nothing, so
// that a burst of all leaves the order to the priorities. A Divider knows only the work that passes its own entrance, which may be less
// than one request a second of an organisation.
package crfair

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// Parameters of Divider. A small entrance sees some dozen requests a second of some dozen organisations.
const (
	// usualTimeConstant is the time constant of an organisation's usual rate. While a service is short, work above the usual
	// is not learned, so that a burst does not become the usual within its duration.
	usualTimeConstant = 20 * time.Second
	// maxForgotten is the longest pause between two requests that lowers the usual rate, so that an organisation that was idle
	// keeps its rate.
	maxForgotten = 2 * time.Second
	// presentTimeConstant is the time constant of the composition of recent work. It covers some dozen requests at a small
	// entrance and is shorter than the second within which shares are to follow the demand.
	presentTimeConstant = 700 * time.Millisecond
	// orderTimeConstant is the time constant of the composition of the work of each priority. The priorities are compared with
	// it, and a shorter one gave the excess up to half of the capacity, because the comparison only ever raises its fraction.
	orderTimeConstant = 5 * time.Second
	// headroom is the fraction by which an organisation may exceed its usual rate. Without it, a few percent of the requests at
	// exactly the usual rate would count as excess, because arrivals are random. It shrinks to zero for an organisation whose
	// excess is that part of its work, evidentExcess, since that is no chance any more.
	headroom      = 0.2
	evidentExcess = 0.2
	// burstTime and burstRequests bound the work that an organisation may send at once without exceeding its usual: work of
	// that time, and that many requests, since at a small entrance an organisation sends less than one in a second.
	burstTime     = 500 * time.Millisecond
	burstRequests = 8
	// leastShare is the least part of the served share of all requests that each organisation gets, also one whose requests are
	// all of a low priority. The requirement is a quarter; the rest is for the error of the estimate. servedTimeConstant is the
	// time constant of the served shares; as fractions and not outcomes are summed, few requests suffice.
	leastShare         = 0.28
	servedTimeConstant = 2 * time.Second
	// chanceExcess is the part of the work for a service up to which excess counts as chance; of random arrivals at the usual
	// rates, 2 to 4% exceed the allowances.
	chanceExcess = 0.05
	// orderTolerance is the fraction by which a more important priority may be served less than the next one.
	orderTolerance = 0.05
	// topShare is the part of the capacity that the excess of the most important priority gets before usual work of the others.
	// Where such requests are cheap, this serves most of them; 0.03 cost the others more than 0.05 of their requests in a
	// replay with the largest organisation in excess.
	topShare = 0.02
	// maxAccounts limits the pairs of organisation and service; the least recently used one is evicted.
	maxAccounts = 10_000
	// growthTimeConstant is the time constant of the present work with which growth is measured. growthDiscount is the part of it
	// that counts: random arrivals at a small entrance look like growth by some tenths at times, from which a hot organisation
	// would gain. maxGrowth limits the growth.
	growthTimeConstant = 1500 * time.Millisecond
	growthDiscount     = 0.85
	maxGrowth          = 16.0
	// idleTime is the time without requests after which an organisation counts as unknown.
	idleTime = 10 * time.Minute
	// maxServices limits the services and maxPriorities the priorities of each.
	maxServices   = 1024
	maxPriorities = 64
)

// Request is one request of an organisation for work of a service.
type Request struct {
	Service string
	// Organisation is empty for requests without one, which never exceed the usual.
	Organisation string
	Priority     int
	// Group holds the priorities that keep their order whatever exceeds the usual: those of requests of organisations with equal
	// priorities. Between groups the excess of an organisation is no reason to serve the others less.
	Group int
	// Work is the time that the request and its calls take of the service, in seconds.
	Work float64
}

// Parts says how much of the recent work exceeds what is usual.
type Parts struct {
	// Service is the part in excess of the work for the service; it is zero while it may be chance. Priority is that of the
	// work of the request's priority, and Next of the next less important one of its group, which is 1 if there is none.
	Service, Priority, Next float64
	// Top is the work in excess of the request's priority as a part of all work for the service, if no priority is more
	// important and one is less; otherwise it is zero.
	Top float64
}

// Divider tells work that is usual for its organisation from work that exceeds it. The zero value is ready for use. It is safe
// for concurrent use.
type Divider struct {
	mu       sync.Mutex
	accounts map[accountKey]*list.Element
	// recent holds the accounts, the most recently used first.
	recent   list.List
	services map[string]*service
}

type accountKey struct{ service, organisation string }

// account is the state of an organisation at a service.
type account struct {
	key accountKey
	at  time.Time
	// usual is the usual rate, in seconds of work per second, before the correction for the time since the start.
	usual float64
	// allowance is the work that the organisation may send without exceeding its usual.
	allowance float64
	recent    composition
	present   presentWork
	served    served
}

// service sums the accounts of a service.
type service struct {
	since, at time.Time
	usual     float64
	accounts  int
	recent    composition
	present   presentWork
	served    served
	classes   map[int]*composition
}

// composition is recent work, divided into what is usual and what exceeds it; it decays exponentially.
type composition struct {
	at             time.Time
	within, excess float64
	group          int
}

func (c *composition) add(now time.Time, constant time.Duration, work float64, excess bool) {
	keep := keepFactor(now, c.at, constant)
	c.at = now
	c.within *= keep
	c.excess *= keep
	if excess {
		c.excess += work
	} else {
		c.within += work
	}
}

// presentWork is recent work that decays with growthTimeConstant.
type presentWork struct {
	updated time.Time
	work    float64
}

func (p *presentWork) add(now time.Time, work float64) { p.work, p.updated = p.at(now)+work, now }

func (p *presentWork) at(now time.Time) float64 {
	return p.work * keepFactor(now, p.updated, growthTimeConstant)
}

// excessPart returns the part of the work that exceeds the usual.
func (c *composition) excessPart() float64 {
	if c.excess == 0 {
		return 0
	}
	return c.excess / (c.within + c.excess)
}

// keepFactor returns the factor by which a decaying sum of the time at is reduced at now.
func keepFactor(now, at time.Time, constant time.Duration) float64 {
	return math.Exp(-max(now.Sub(at), 0).Seconds() / constant.Seconds())
}

// Record counts a request, whether it is admitted or not, and reports whether it exceeds what is usual for its organisation.
// short is set while the service has more work than capacity.
func (d *Divider) Record(now time.Time, r Request, short bool) (excess bool, parts Parts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(now, r.Service)
	class := s.class(r.Priority, r.Group)
	// The request itself is left out, since it would lower the fraction of the requests that are like it.
	parts = Parts{Service: s.evidentExcess(), Priority: class.excessPart(), Next: s.nextExcess(r.Priority, r.Group), Top: s.topExcess(now, r.Priority)}
	if r.Organisation != "" {
		a := d.account(now, s, r)
		// The allowance may fall below zero by one request, so that large requests are no more often in excess than small ones.
		if excess = a.allowance <= 0; !excess {
			a.allowance -= r.Work
		}
		if !short || !excess {
			a.usual += r.Work / usualTimeConstant.Seconds()
			s.usual += r.Work / usualTimeConstant.Seconds()
		}
		a.recent.add(now, presentTimeConstant, r.Work, excess)
		a.present.add(now, r.Work)
		s.present.add(now, r.Work)
	}
	class.add(now, orderTimeConstant, r.Work, excess)
	s.recent.add(now, presentTimeConstant, r.Work, excess)
	return excess, parts
}

// Excess returns the part of the recent work for the service that exceeds the usual, as Parts.Service.
func (d *Divider) Excess(service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		return s.evidentExcess()
	}
	return 0
}

// AtLeast records the fraction of requests like r to admit and returns it, or a larger one while the organisation, over all
// priorities, is served less than its least share.
func (d *Divider) AtLeast(now time.Time, r Request, fraction float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[r.Service]
	if s == nil {
		return fraction
	}
	if e := d.accounts[accountKey{r.Service, r.Organisation}]; e != nil {
		a := e.Value.(*account)
		// Past requests of an organisation that sends few count little by now.
		with := a.served.plus(now, fraction)
		if least := leastShare * s.served.fraction(); with.fraction() < least {
			fraction = max(fraction, least)
		}
		a.served = a.served.plus(now, fraction)
	}
	s.served = s.served.plus(now, fraction)
	return fraction
}

// served is the number of recent requests and how many of them were to be admitted; it decays exponentially.
type served struct {
	at                 time.Time
	requests, admitted float64
}

// plus returns the sums with one more request.
func (v served) plus(now time.Time, fraction float64) served {
	keep := keepFactor(now, v.at, servedTimeConstant)
	return served{now, v.requests*keep + 1, v.admitted*keep + fraction}
}

// fraction returns the fraction that was to be admitted, 1 without requests.
func (v served) fraction() float64 {
	if v.requests == 0 {
		return 1
	}
	return v.admitted / v.requests
}

// Usual holds the fractions of usual work that are admitted.
type Usual struct {
	// Total is that of all usual work for the service, Own that of the request's priority and Next that of the next less
	// important one.
	Total, Own, Next float64
}

// ExcessFraction returns the fraction of requests in excess to admit when the service has capacity for the given share of all
// work. The excess gets what usual work leaves, more where otherwise the priority would get less than the next less important one,
// and a small part of the capacity if no priority is more important. It never gets more than usual work of its priority.
func (p Parts) ExcessFraction(share float64, u Usual) float64 {
	rest := p.Rest(share, u.Total)
	atLeast := rest
	if p.Top > 0 {
		atLeast = max(atLeast, topShare*share/p.Top)
	}
	if p.Priority > 0 {
		next := (1-p.Next)*u.Next + p.Next*rest
		atLeast = max(atLeast, (next-orderTolerance-(1-p.Priority)*u.Own)/p.Priority)
	}
	return min(atLeast, u.Own)
}

// Rest returns the fraction of all excess that can be admitted beside the fraction total of usual work.
func (p Parts) Rest(share, total float64) float64 {
	if p.Service == 0 {
		return total
	}
	return min(1, max(0, share-total*(1-p.Service))/p.Service)
}

func (d *Divider) service(now time.Time, name string) *service {
	if d.services == nil {
		d.accounts, d.services = map[accountKey]*list.Element{}, map[string]*service{}
	}
	d.evictIdle(now)
	s := d.services[name]
	if s == nil {
		if len(d.services) >= maxServices {
			clear(d.services)
		}
		s = &service{since: now, at: now, classes: map[int]*composition{}}
		d.services[name] = s
	}
	s.usual *= keepFactor(now, s.at, usualTimeConstant)
	s.at = now
	return s
}

// evidentExcess returns the part of the work that exceeds the usual, or zero if that may be chance.
func (s *service) evidentExcess() float64 {
	if part := s.recent.excessPart(); part >= chanceExcess {
		return part
	}
	return 0
}

// account returns the account of a request, brought forward to now.
func (d *Divider) account(now time.Time, s *service, r Request) *account {
	key := accountKey{r.Service, r.Organisation}
	e := d.accounts[key]
	if e == nil {
		if len(d.accounts) >= maxAccounts {
			d.evictLast()
		}
		s.accounts++
		// Within the limit of the allowance.
		a := &account{key: key, at: now, allowance: math.Inf(1), recent: composition{at: now}}
		d.accounts[key] = d.recent.PushFront(a)
		a.limit(r.Work, a.rate(s, now))
		return a
	}
	d.recent.MoveToFront(e)
	a := e.Value.(*account)
	a.allowance += a.rate(s, now) * max(now.Sub(a.at), 0).Seconds()
	if pause := now.Sub(a.at); pause > maxForgotten {
		a.usual *= keepFactor(a.at.Add(maxForgotten), a.at, usualTimeConstant)
	} else {
		a.usual *= keepFactor(now, a.at, usualTimeConstant)
	}
	a.at = now
	a.limit(r.Work, a.rate(s, now))
	return a
}

// rate returns the rate of work that does not exceed the usual. An organisation with less than the mean usual rate, as an
// unknown one and one that was idle, counts with the mean: its own few requests say little, and it takes little.
func (a *account) rate(s *service, now time.Time) float64 {
	// A sum that decays with the time constant has only reached this part of its final value since the start.
	reached := 1 - keepFactor(now, s.since, usualTimeConstant)
	if reached == 0 {
		return 0
	}
	room := 1 + headroom*max(0, 1-a.recent.excessPart()/evidentExcess)
	return room * a.growthOfOthers(s, now, reached) * max(a.usual, s.usual/float64(max(s.accounts, 1))) / reached
}

// growthOfOthers returns the present work of all other organisations as a multiple of their usual work, at least 1. A hot
// organisation does not raise its own share by it, since its work is left out.
func (a *account) growthOfOthers(s *service, now time.Time, reached float64) float64 {
	usual := (s.usual - a.usual) / reached
	if usual <= 0 {
		return 1
	}
	present := (s.present.at(now) - a.present.at(now)) / growthTimeConstant.Seconds()
	return min(max(growthDiscount*present/usual, 1), maxGrowth)
}

func (a *account) limit(work, rate float64) {
	a.allowance = min(a.allowance, rate*burstTime.Seconds()+burstRequests*work)
}

// evictIdle removes the accounts that have been idle.
func (d *Divider) evictIdle(now time.Time) {
	for e := d.recent.Back(); e != nil && now.Sub(e.Value.(*account).at) >= idleTime; e = d.recent.Back() {
		d.evictLast()
	}
}

// evictLast removes the least recently used account.
func (d *Divider) evictLast() {
	a := d.recent.Remove(d.recent.Back()).(*account)
	delete(d.accounts, a.key)
	if s := d.services[a.key.service]; s != nil {
		s.accounts = max(s.accounts-1, 0)
	}
}

func (s *service) class(priority, group int) *composition {
	c := s.classes[priority]
	if c == nil {
		if len(s.classes) >= maxPriorities {
			clear(s.classes)
		}
		c = &composition{group: group}
		s.classes[priority] = c
	}
	return c
}

// topExcess returns Parts.Top for a priority.
func (s *service) topExcess(now time.Time, priority int) float64 {
	own, total, others := 0.0, 0.0, false
	for p, c := range s.classes {
		keep := keepFactor(now, c.at, orderTimeConstant)
		if p < priority && keep*(c.within+c.excess) > 0 {
			return 0
		}
		others = others || p > priority
		total += keep * (c.within + c.excess)
		if p == priority {
			own = keep * c.excess
		}
	}
	if !others || total == 0 {
		return 0
	}
	return own / total
}

// nextExcess returns the part in excess of the next less important priority of the group, 1 if there is none.
func (s *service) nextExcess(priority, group int) float64 {
	next, part := 0, 1.0
	for p, c := range s.classes {
		if p > priority && c.group == group && (part == 1 || p < next) {
			next, part = p, c.excessPart()
		}
	}
	return part
}

// Accounts returns the number of pairs of organisation and service that are known.
func (d *Divider) Accounts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.accounts)
}
