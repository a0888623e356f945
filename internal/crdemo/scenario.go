package crdemo

import (
	"fmt"
	"sort"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

// ServiceSpec describes one service of a deployment; Slots and Connections are per server, before scaling.
type ServiceSpec struct {
	Name        string
	Servers     int
	Slots       int
	Connections int
}

// KindSpec describes one request kind of a deployment.
type KindSpec struct {
	Service    string
	Name       string
	Class      cradmission.Class
	Worth      int
	Repeatable bool
	Deadline   time.Duration
	Retries    int
	Work       Work
	// Share is the fraction of the callers' requests that are of this kind; 0 means that the kind is used by downstream
	// calls only.
	Share float64
}

// ID returns the kind as SERVICE/NAME.
func (k KindSpec) ID() string { return k.Service + "/" + k.Name }

// Scenario describes a deployment and its load.
type Scenario struct {
	Name     string
	Region   string
	Domains  int
	Services []ServiceSpec
	Kinds    []KindSpec
	// SlowService is the service that the compound fault makes slow; it is deep in the call graph.
	SlowService string
	// Scale divides the slots and connections of every server, so that one machine can run the whole deployment.
	Scale int
}

const (
	retries  = 5
	deadline = time.Second
	// scaleDown divides the announced slots of both deployments, so that 10 cores suffice for the nodes, the simulated
	// servers and the callers. With the service times below, the capacity is about 870 requests per second.
	scaleDown = 4
)

// Collective returns the deployment of the Mkonge Gunia Collective: reads have a call chain of four services, pickups of
// two.
func Collective() Scenario {
	return Scenario{
		Name: "collective", Region: "nyanda", Domains: 4, SlowService: "ledger", Scale: scaleDown,
		Services: []ServiceSpec{
			{"route", 6, 50, 400}, {"ledger", 4, 70, 500}, {"photo", 4, 70, 500}, {"price", 4, 15, 180},
		},
		Kinds: []KindSpec{
			{"route", "plan", cradmission.Ordinary, 40, true, deadline, retries, Work{20 * time.Millisecond, []DownstreamCall{{"price", "quote", ""}}}, 0.25},
			{"price", "quote", cradmission.Ordinary, 40, true, deadline, retries, Work{8 * time.Millisecond, []DownstreamCall{{"photo", "weights", ""}}}, 0},
			{"photo", "weights", cradmission.Ordinary, 40, true, deadline, retries, Work{20 * time.Millisecond, []DownstreamCall{{"ledger", "balance", ""}}}, 0},
			{"ledger", "balance", cradmission.Ordinary, 40, true, deadline, retries, Work{40 * time.Millisecond, nil}, 0},
			{"route", "pickup", cradmission.Protected, 100, false, deadline, retries, Work{20 * time.Millisecond, []DownstreamCall{{"ledger", "record", "record"}}}, 0.08},
			{"ledger", "record", cradmission.Protected, 100, false, deadline, retries, Work{40 * time.Millisecond, nil}, 0},
			{"photo", "upload", cradmission.Ordinary, 10, true, deadline, retries, Work{40 * time.Millisecond, []DownstreamCall{{"ledger", "balance", ""}}}, 0.25},
			{"photo", "thumbnail", cradmission.Ordinary, 1, true, deadline, retries, Work{40 * time.Millisecond, nil}, 0.25},
			{"price", "read", cradmission.Ordinary, 20, true, deadline, retries, Work{8 * time.Millisecond, nil}, 0.17},
		},
	}
}

// Cooperative returns the deployment of the Snezhinka Photo Archive Cooperative.
func Cooperative() Scenario {
	return Scenario{
		Name: "cooperative", Region: "bg-south", Domains: 3, SlowService: "depository", Scale: scaleDown,
		Services: []ServiceSpec{
			{"catalogue", 6, 55, 400}, {"depository", 4, 60, 500}, {"licensing", 3, 85, 600}, {"assembly", 3, 35, 300},
		},
		Kinds: []KindSpec{
			{"catalogue", "browse", cradmission.Ordinary, 5, true, deadline, retries, Work{20 * time.Millisecond, []DownstreamCall{{"licensing", "rights", ""}}}, 0.45},
			{"licensing", "rights", cradmission.Ordinary, 5, true, deadline, retries, Work{20 * time.Millisecond, []DownstreamCall{{"depository", "plate", ""}}}, 0},
			{"depository", "plate", cradmission.Ordinary, 5, true, deadline, retries, Work{40 * time.Millisecond, nil}, 0},
			{"catalogue", "thumbnail", cradmission.Ordinary, 1, true, deadline, retries, Work{20 * time.Millisecond, []DownstreamCall{{"depository", "plate", ""}}}, 0.32},
			{"catalogue", "deposit", cradmission.Protected, 100, true, deadline, retries, Work{20 * time.Millisecond, []DownstreamCall{{"depository", "store", ""}}}, 0.06},
			{"depository", "store", cradmission.Protected, 100, true, deadline, retries, Work{40 * time.Millisecond, nil}, 0},
			{"licensing", "license", cradmission.Protected, 80, false, deadline, retries, Work{20 * time.Millisecond, []DownstreamCall{{"assembly", "member", ""}}}, 0.07},
			{"assembly", "member", cradmission.Protected, 80, true, deadline, retries, Work{20 * time.Millisecond, nil}, 0},
			{"assembly", "vote", cradmission.Protected, 90, false, deadline, retries, Work{20 * time.Millisecond, nil}, 0.10},
		},
	}
}

// scaledSlots returns the slots of one server after scaling, at least 1.
func (s Scenario) scaledSlots(spec ServiceSpec) int { return max((spec.Slots+s.Scale/2)/s.Scale, 1) }

func (s Scenario) kindByID(id string) KindSpec {
	for _, k := range s.Kinds {
		if k.ID() == id {
			return k
		}
	}
	return KindSpec{}
}

// addSlotTime adds to into the slot time that one complete request of the kind needs at each service, including the wait
// for downstream calls, and returns the slot time at the kind's own service. slow multiplies the service time of the slow
// service.
func (s Scenario) addSlotTime(k KindSpec, slow int, into map[string]time.Duration) time.Duration {
	own := k.Work.Time
	if k.Service == s.SlowService {
		own *= time.Duration(slow)
	}
	for _, c := range k.Work.Calls {
		own += s.addSlotTime(s.kindByID(c.Service+"/"+c.Kind), slow, into)
	}
	into[k.Service] += own
	return own
}

// runsPerRequest returns the number of executions, at all services, that one complete request of the kind needs.
func (s Scenario) runsPerRequest(k KindSpec) int {
	n := 1
	for _, c := range k.Work.Calls {
		n += s.runsPerRequest(s.kindByID(c.Service + "/" + c.Kind))
	}
	return n
}

// Capacity returns the highest rate of requests per second, in the scenario's mix of kinds, that no service limits.
func (s Scenario) Capacity(slow int) float64 {
	need := map[string]float64{}
	for _, k := range s.Kinds {
		use := map[string]time.Duration{}
		s.addSlotTime(k, slow, use)
		for svc, d := range use {
			need[svc] += k.Share * d.Seconds()
		}
	}
	best := 0.0
	for _, spec := range s.Services {
		if need[spec.Name] == 0 {
			continue
		}
		c := float64(spec.Servers*s.scaledSlots(spec)) / need[spec.Name]
		if best == 0 || c < best {
			best = c
		}
	}
	return best
}

// BestGoodput returns the highest worth per second that the capacity allows for the offered rate of requests, and the rate
// of each kind at which it is reached. It allocates the capacity once in order of class and worth, and once in order of
// class and worth per slot time at the slow service, and returns the better result.
func (s Scenario) BestGoodput(rate float64, slow int) (float64, map[string]float64) {
	byWorth, rates := s.allocate(rate, slow, func(k KindSpec) float64 { return float64(k.Worth) })
	byDensity, dense := s.allocate(rate, slow, func(k KindSpec) float64 {
		use := map[string]time.Duration{}
		s.addSlotTime(k, slow, use)
		return float64(k.Worth) / use[s.SlowService].Seconds()
	})
	if byDensity > byWorth {
		return byDensity, dense
	}
	return byWorth, rates
}

func (s Scenario) allocate(rate float64, slow int, rank func(KindSpec) float64) (float64, map[string]float64) {
	left := map[string]float64{}
	for _, spec := range s.Services {
		left[spec.Name] = float64(spec.Servers * s.scaledSlots(spec))
	}
	kinds := append([]KindSpec(nil), s.Kinds...)
	sort.SliceStable(kinds, func(i, j int) bool {
		if kinds[i].Class != kinds[j].Class {
			return kinds[i].Class > kinds[j].Class
		}
		return rank(kinds[i]) > rank(kinds[j])
	})
	total, rates := 0.0, map[string]float64{}
	for _, k := range kinds {
		if k.Share == 0 {
			continue
		}
		use := map[string]time.Duration{}
		s.addSlotTime(k, slow, use)
		r := rate * k.Share
		for svc, d := range use {
			r = min(r, left[svc]/d.Seconds())
		}
		for svc, d := range use {
			left[svc] -= r * d.Seconds()
		}
		rates[k.ID()] = r
		total += r * float64(k.Worth)
	}
	return total, rates
}

// createCommand returns the operator command that creates the kind.
func (k KindSpec) createCommand() string {
	repeat := "no"
	if k.Repeatable {
		repeat = "yes"
	}
	return fmt.Sprintf("create kind %s/%s class %s worth %d repeat %s deadline %s retries %d",
		k.Service, k.Name, k.Class, k.Worth, repeat, k.Deadline, k.Retries)
}
