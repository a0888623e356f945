package crprint

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// ServicesOf returns all services in the configuration state s.
func ServicesOf(s *crconfig.State) Services {
	kinds := make(map[string]int)
	for _, o := range s.Objects("kind/") {
		kinds[o.Entry.Service]++
	}
	var a Services
	eachObject(s, "service/", func(o *crwire.ConfigObject, m *crwire.ServiceConfig) {
		a.Services = append(a.Services, Service{
			Name: m.Name, Owner: m.Owner, Kinds: kinds[m.Name],
			Version: crconfig.VersionFromProto(o.Entry.Version), ChangedBy: o.Changed.Operator,
		})
	})
	return a
}

// KindsOf returns the kinds of one service, or of all services if service is empty.
func KindsOf(s *crconfig.State, service string) Kinds {
	prefix := "kind/"
	if service != "" {
		prefix = crconfig.KindKey(service, "")
	}
	var a Kinds
	eachObject(s, prefix, func(o *crwire.ConfigObject, m *crwire.KindConfig) {
		class := "ordinary"
		if m.Protected {
			class = "protected"
		}
		a.Kinds = append(a.Kinds, Kind{
			Service: m.Service, Name: m.Name, Class: class, Worth: m.Worth, Repeatable: m.Repeatable,
			DeadlineMS: m.DeadlineMs, Retries: m.Retries,
			Version: crconfig.VersionFromProto(o.Entry.Version), ChangedBy: o.Changed.Operator,
		})
	})
	return a
}

// ConvictionsOf returns the convictions (blocked request fingerprints) that are in force at the time now and started at since
// or later, of one service, or of all services if service is empty.
func ConvictionsOf(s *crconfig.State, service string, since, now time.Time) Convictions {
	var a Convictions
	eachObject(s, "conviction/", func(o *crwire.ConfigObject, m *crwire.Conviction) {
		start, end := time.UnixMilli(m.SinceMs).UTC(), time.UnixMilli(m.ExpiresMs).UTC()
		if service != "" && m.Service != service || start.Before(since) || !now.Before(end) {
			return
		}
		a.Convictions = append(a.Convictions, Conviction{
			Fingerprint: m.Fingerprint, Service: m.Service, Kind: m.Kind, Since: start, Expires: end,
			Version: crconfig.VersionFromProto(o.Entry.Version),
		})
	})
	return a
}

// DrainedOf returns the set of names of nodes whose backend servers are drained.
func DrainedOf(s *crconfig.State) map[string]bool {
	nodes := make(map[string]bool)
	for _, o := range s.Objects("server/") {
		nodes[strings.TrimPrefix(o.Entry.Key, "server/")] = true
	}
	return nodes
}

// eachObject calls fn for each object whose key starts with prefix, in order of key. The state holds only values that can be
// decoded.
func eachObject[T any, P interface {
	*T
	proto.Message
}](s *crconfig.State, prefix string, fn func(*crwire.ConfigObject, P),
) {
	for _, o := range s.Objects(prefix) {
		m := P(new(T))
		if proto.Unmarshal(o.Entry.Value, m) == nil {
			fn(o, m)
		}
	}
}
