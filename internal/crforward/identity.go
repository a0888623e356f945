package crforward

import (
	"net/http"
	"sync"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// maxKeyedRoutes limits the routes that keyedRoutes remembers.
const maxKeyedRoutes = 10_000

// keyedRoutes remembers the routes on which requests with valid keys have arrived. Only clients send keys, so a request
// without one on such a route is no call of the backend server.
type keyedRoutes struct {
	mu    sync.Mutex
	names map[string]bool
}

func (k *keyedRoutes) add(route string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.names == nil {
		k.names = map[string]bool{}
	}
	if len(k.names) < maxKeyedRoutes {
		k.names[route] = true
	}
}

func (k *keyedRoutes) has(route string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.names[route]
}

// identify returns the organisation of a request, nil for a request without one, or the reply with which the request is
// refused. It removes the key from the headers and sets the name of the organisation, whatever the client sent.
func (n *Node) identify(table *crroute.Table, route *crroute.Route, h http.Header) (*crroute.Organisation, *reply) {
	names := n.Settings.Headers
	if !table.HasOrganisations() || names.Key == "" {
		return nil, nil
	}
	keys := h.Values(names.Key)
	h.Del(names.Key)
	h.Del(names.Organisation)
	if route.Anonymous {
		return nil, nil
	}
	if len(keys) == 0 {
		if n.keyedRoutes.has(route.Name) {
			return nil, failureReply(crcode.UnknownKey, "no key")
		}
		return nil, nil
	}
	o := table.Organisation(keys[0])
	if o == nil || len(keys) > 1 {
		return nil, failureReply(crcode.UnknownKey, "unknown key")
	}
	n.keyedRoutes.add(route.Name)
	h.Set(names.Organisation, o.Name)
	return o, nil
}

// setOrganisation records the organisation of the call, whose priority takes precedence over that of the route.
func (c *call) setOrganisation(o *crroute.Organisation) {
	if o == nil {
		return
	}
	c.organisation = o.Name
	if o.Priority != nil {
		c.setPriority(*o.Priority)
	}
}

// setPriority sets the rank of the call; a smaller number is more important.
func (c *call) setPriority(priority int) {
	c.priority = priority
	c.importance = uint32(maxImportance - min(max(priority, 0), maxImportance-1))
}
