package crquota

// Merge combines the requests of several nodes into one, with one demand for each organisation under the newest of the limits.
func Merge(reqs []Request) Request {
	var out Request
	index := map[string]int{}
	for _, r := range reqs {
		out.Contacts = append(out.Contacts, r.Contacts...)
		for _, d := range r.Demands {
			d.Need = min(d.Need, maxNeed)
			i, ok := index[d.Organisation]
			if !ok {
				index[d.Organisation] = len(out.Demands)
				out.Demands = append(out.Demands, d)
				continue
			}
			m := &out.Demands[i]
			m.Need = min(m.Need+d.Need, maxNeed)
			if d.Limit.Version > m.Limit.Version {
				m.Limit = d.Limit
			}
		}
	}
	return out
}

// Split divides the reply to merged requests: it returns one reply for each of them. Tokens that are fewer than the need are
// divided in proportion to the needs, and the remainder goes to one node after the other, from the given turn on.
func Split(reqs []Request, r Reply, turn int) []Reply {
	grants := make(map[string]Grant, len(r.Grants))
	for _, g := range r.Grants {
		grants[g.Organisation] = g
	}
	needs := map[string]uint64{}
	for _, q := range reqs {
		for _, d := range q.Demands {
			needs[d.Organisation] += uint64(min(d.Need, maxNeed))
		}
	}
	left := make(map[string]uint32, len(grants))
	for org, g := range grants {
		left[org] = g.Granted
	}
	out := make([]Reply, len(reqs))
	for i, q := range reqs {
		out[i] = Reply{Term: r.Term, Stamp: r.Stamp, Nodes: r.Nodes, Grants: make([]Grant, 0, len(q.Demands))}
		for _, d := range q.Demands {
			g, ok := grants[d.Organisation]
			if !ok {
				continue
			}
			need := min(d.Need, maxNeed)
			part := uint32(min(uint64(need), uint64(g.Granted)*uint64(need)/max(needs[d.Organisation], 1)))
			part = min(part, left[d.Organisation])
			left[d.Organisation] -= part
			g.Granted = part
			out[i].Grants = append(out[i].Grants, g)
		}
	}
	distributeRest(reqs, out, left, turn)
	return out
}

// distributeRest gives the tokens that are left to the requests whose need is not met, one each in turn, and clears the waiting
// time of those whose need is met.
func distributeRest(reqs []Request, out []Reply, left map[string]uint32, turn int) {
	for k := range reqs {
		i := (turn + k) % len(reqs)
		need := make(map[string]uint32, len(reqs[i].Demands))
		for _, d := range reqs[i].Demands {
			need[d.Organisation] = min(d.Need, maxNeed)
		}
		for j := range out[i].Grants {
			g := &out[i].Grants[j]
			if g.Granted < need[g.Organisation] && left[g.Organisation] > 0 {
				left[g.Organisation]--
				g.Granted++
			}
			if g.Granted >= need[g.Organisation] {
				g.Wait = 0
			}
		}
	}
}
