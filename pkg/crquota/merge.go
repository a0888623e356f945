package crquota

// Merge combines the requests of several nodes into one, with one demand for each organisation under the newest of the limits.
// Tokens that were granted in an earlier term than others are not returned.
func Merge(reqs []Request) Request {
	var out Request
	index := map[string]int{}
	for _, r := range reqs {
		if r.returns() && r.Term > out.Term {
			out.Term, out.Stamp = r.Term, r.Stamp
		}
	}
	for _, r := range reqs {
		out.Contacts = append(out.Contacts, r.Contacts...)
		out.Urgent = out.Urgent || r.Urgent
		sameTerm := r.Term == out.Term
		if sameTerm && r.returns() {
			out.Stamp = min(out.Stamp, r.Stamp)
		}
		for _, d := range r.Demands {
			d.Need, d.Spare = min(d.Need, maxNeed), min(d.Spare, maxNeed)
			if d.Returned = min(d.Returned, maxNeed); !sameTerm {
				d.Returned = 0
			}
			i, ok := index[d.Organisation]
			if !ok {
				index[d.Organisation] = len(out.Demands)
				out.Demands = append(out.Demands, d)
				continue
			}
			m := &out.Demands[i]
			m.Need, m.Spare = min(m.Need+d.Need, maxNeed), min(m.Spare+d.Spare, maxNeed)
			m.Returned = min(m.Returned+d.Returned, maxNeed)
			if d.Limit.Version > m.Limit.Version {
				m.Limit = d.Limit
			}
		}
	}
	return out
}

// claim is the demand of one of several merged requests and its part of the grant.
type claim struct {
	demand Demand
	grant  *Grant
}

// Split divides the reply to merged requests: it returns one reply for each of them. The turn decides who gets the tokens that
// cannot be divided evenly; it should differ from call to call.
func Split(reqs []Request, r Reply, turn int) []Reply {
	grants := make(map[string]Grant, len(r.Grants))
	for _, g := range r.Grants {
		grants[g.Organisation] = g
	}
	claims := make(map[string][]claim, len(grants))
	out := make([]Reply, len(reqs))
	for i, q := range reqs {
		out[i] = Reply{Term: r.Term, Stamp: r.Stamp, Nodes: r.Nodes, Grants: make([]Grant, 0, len(q.Demands))}
		for _, d := range q.Demands {
			if g, ok := grants[d.Organisation]; ok {
				out[i].Grants = append(out[i].Grants, Grant{Organisation: d.Organisation, Wait: g.Wait})
				claims[d.Organisation] = append(claims[d.Organisation], claim{d, &out[i].Grants[len(out[i].Grants)-1]})
			}
		}
	}
	for organisation, list := range claims {
		splitGrant(grants[organisation], list, turn)
	}
	return out
}

// splitGrant sets the parts that the claims have in a grant.
func splitGrant(g Grant, list []claim, turn int) {
	needs, spares := make([]uint32, len(list)), make([]uint32, len(list))
	for i, c := range list {
		needs[i], spares[i] = min(c.demand.Need, maxNeed), min(c.demand.Spare, maxNeed)
	}
	granted, spare := divide(g.Granted, needs, turn), divide(g.Spare, spares, turn)
	for i, c := range list {
		c.grant.Granted, c.grant.Spare = granted[i], spare[i]
		if granted[i] >= needs[i] {
			c.grant.Wait = 0
		}
	}
}

// divide divides tokens in proportion to the wants. The remainder goes to one after the other, from the given turn on.
func divide(tokens uint32, wants []uint32, turn int) []uint32 {
	var sum uint64
	for _, v := range wants {
		sum += uint64(v)
	}
	parts := make([]uint32, len(wants))
	total := uint64(min(uint64(tokens), sum))
	left := total
	for i, v := range wants {
		parts[i] = uint32(total * uint64(v) / max(sum, 1))
		left -= uint64(parts[i])
	}
	for k := 0; left > 0; k++ {
		i := (turn + k) % len(wants)
		if parts[i] < wants[i] {
			parts[i]++
			left--
		}
	}
	return parts
}
