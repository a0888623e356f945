package crroute

import (
	"math"
	"strings"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Organisation is a customer whose clients identify themselves with one of its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority is the rank of the organisation's requests and takes precedence over that of their routes; nil means that
	// the routes decide.
	Priority *int
	Quota    Quota
}

// Quota limits the requests of an organisation, summed over all nodes, to a rate in requests per second and a burst in
// requests. The zero value means no limit.
type Quota struct {
	Rate  float64
	Burst float64
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.Rate > 0 || q.Burst > 0 }

// addOrganisation adds an organisation, or returns a BadValue error. The error does not contain a key, because errors are
// logged.
func (t *Table) addOrganisation(o *Organisation) error {
	if _, ok := t.organisations[o.Name]; ok || o.Name == "" {
		return crcode.New(crcode.BadValue, "organisation %q has no name or stands twice", o.Name)
	}
	if strings.ContainsFunc(o.Name, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		// The name is sent to backend servers in a header.
		return crcode.New(crcode.BadValue, "organisation %q has a control character in its name", o.Name)
	}
	if !validRate(o.Quota.Rate) || !validRate(o.Quota.Burst) {
		return crcode.New(crcode.BadValue, "organisation %q: the rate %v or the burst %v is no number from 0", o.Name, o.Quota.Rate, o.Quota.Burst)
	}
	t.organisations[o.Name] = o
	t.quotas = t.quotas || o.Quota.Limited()
	for _, k := range o.Keys {
		if k == "" {
			return crcode.New(crcode.BadValue, "organisation %q has an empty key", o.Name)
		}
		if other := t.byKey[k]; other != nil {
			return crcode.New(crcode.BadValue, "organisations %q and %q share a key, or one has it twice", other.Name, o.Name)
		}
		t.byKey[k] = o
	}
	return nil
}

func validRate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// Organisation returns the organisation that holds the key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// OrganisationNamed returns the organisation with the name, or nil.
func (t *Table) OrganisationNamed(name string) *Organisation { return t.organisations[name] }

// HasQuotas reports whether an organisation has a quota.
func (t *Table) HasQuotas() bool { return t.quotas }

// HasOrganisations reports whether requests need the key of an organisation, except on anonymous routes.
func (t *Table) HasOrganisations() bool { return len(t.organisations) > 0 }

// ranksPerPriority is the number of route priorities that are told apart within one priority of an organisation.
const ranksPerPriority = 256

// Rank returns the rank of a request of the route; 0 is the most important. The priority of the organisation, which may be nil,
// goes first, and that of the route orders requests of equal ones: otherwise an organisation's cheap urgent requests would be
// refused together with its long ones. Without organisations the rank is the priority of the route.
func (t *Table) Rank(r *Route, o *Organisation) int {
	if !t.HasOrganisations() {
		return r.Priority
	}
	first := r.Priority
	if o != nil && o.Priority != nil {
		first = *o.Priority
	}
	return clampPriority(first)*ranksPerPriority + clampPriority(r.Priority)
}

// RoutePart returns the part of a rank that the priority of the route determines, for a table with organisations.
func RoutePart(rank int) int { return rank % ranksPerPriority }

func clampPriority(p int) int { return min(max(p, 0), ranksPerPriority-1) }
