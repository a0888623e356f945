package crforward

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// Reasons of refusals for a key, and the names of their counters.
const (
	reasonUnknownKey  = "keys_unknown"
	reasonMissingKey  = "keys_missing"
	reasonUnconfirmed = "keys_unconfirmed"
)

// keysRetryAfter is the mean time after which a client returns to a node whose configuration is not known to be current.
// The node asks for a confirmation at half that interval.
const keysRetryAfter = time.Second

// keyedRoutes remembers the routes of the table in force on which requests with valid keys have arrived. Only clients send
// keys, so a request without one on such a route is no call of the backend server.
type keyedRoutes struct {
	mu      sync.RWMutex
	version uint64
	names   map[string]bool
}

// retain removes the routes that the table does not have. It is called before the table comes into force.
func (k *keyedRoutes) retain(table *crroute.Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version = table.Version()
	for name := range k.names {
		if !table.HasRoute(name) {
			delete(k.names, name)
		}
	}
}

// add records a keyed request that was matched by a table. An older table than the one in force adds nothing, because its
// routes may be gone.
func (k *keyedRoutes) add(version uint64, route string) {
	if k.has(route) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if version != k.version {
		return
	}
	if k.names == nil {
		k.names = map[string]bool{}
	}
	k.names[route] = true
}

func (k *keyedRoutes) has(route string) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.names[route]
}

// identify returns the organisation of a request, nil for a request without one, or the reply with which the request is
// refused. It removes the key from the headers and sets the name of the organisation, whatever the client sent. Where
// revocation is strict, a key is also checked if the configuration has no organisations: the last one may have been removed.
func (n *Node) identify(table *crroute.Table, route *crroute.Route, h http.Header) (*crroute.Organisation, *reply) {
	names := n.Settings.Headers
	strict := n.Settings.RevokeWithin > 0
	keys := h.Values(names.Key)
	if names.Key == "" || !table.HasOrganisations() && (!strict || len(keys) == 0) {
		return nil, nil
	}
	h.Del(names.Key)
	h.Del(names.Organisation)
	keepHeader(h, names.Organisation)
	if route.Anonymous {
		return nil, nil
	}
	if len(keys) == 0 {
		if n.keyedRoutes.has(route.Name) {
			return nil, n.refuseKey(table, reasonMissingKey)
		}
		return nil, nil
	}
	if strict && !n.freshness.within(n.Clock(), table, n.Settings.RevokeWithin) {
		return nil, n.unconfirmedReply()
	}
	o := table.Organisation(keys[0])
	if o == nil || len(keys) > 1 {
		return nil, n.refuseKey(table, reasonUnknownKey)
	}
	n.keyedRoutes.add(table.Version(), route.Name)
	h.Set(names.Organisation, o.Name)
	return o, nil
}

// refuseKey returns the reply to a request whose key is missing or unknown. While the configuration may be older than the
// bound, the key may be a new one, so that the client is told to return.
func (n *Node) refuseKey(table *crroute.Table, reason string) *reply {
	if bound := n.Settings.ConfigApply; bound > 0 && !n.freshness.within(n.Clock(), table, bound) {
		return n.unconfirmedReply()
	}
	n.Counters.Add(reason, 1)
	n.freshness.countRefusal(reason)
	return failureReply(crcode.UnknownKey, reason)
}

func (n *Node) unconfirmedReply() *reply {
	n.Counters.Add(reasonUnconfirmed, 1)
	n.freshness.countRefusal(reasonUnconfirmed)
	r := failureReply(crcode.KeysUnconfirmed, reasonUnconfirmed)
	r.retryAfter = keysRetryAfter/2 + jitter(keysRetryAfter)
	return r
}

// keepHeader removes a header from the client's list of headers that apply to its connection only. Otherwise the client could
// make the node drop the header on the way to the server.
func keepHeader(h http.Header, name string) {
	for i, line := range h["Connection"] {
		if !strings.Contains(strings.ToLower(line), strings.ToLower(name)) {
			continue
		}
		var kept []string
		for _, listed := range strings.Split(line, ",") {
			if !strings.EqualFold(strings.TrimSpace(listed), name) {
				kept = append(kept, listed)
			}
		}
		h["Connection"][i] = strings.Join(kept, ",")
	}
}

// setOrganisation records the organisation of the call, which may be nil, and the rank of its requests.
func (c *call) setOrganisation(table *crroute.Table, route *crroute.Route, o *crroute.Organisation) {
	if o != nil {
		c.organisation = o.Name
	}
	c.ranked = table.HasOrganisations()
	c.setPriority(table.Rank(route, o))
}

// setPriority sets the rank of the call; a smaller number is more important.
func (c *call) setPriority(priority int) {
	c.priority = priority
	c.importance = uint32(maxImportance - min(max(priority, 0), maxImportance-1))
}

// kindImportance returns the importance of the call among the kinds of its organisation.
func (c *call) kindImportance() uint32 {
	if !c.ranked {
		return c.importance
	}
	return uint32(maxImportance - crroute.RoutePart(maxImportance-int(c.importance)))
}
