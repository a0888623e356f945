package crconfig

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// ServiceKey returns the key of a service.
func ServiceKey(name string) string { return "service/" + name }

// KindKey returns the key of a kind.
func KindKey(service, name string) string { return "kind/" + service + "/" + name }

// ServerKey returns the key of the drained backend server of a node.
func ServerKey(node string) string { return "server/" + node }

// GroupKey returns the key of a keeper group.
func GroupKey(number uint32) string { return fmt.Sprintf("group/%d", number) }

// ConvictionKey returns the key of a conviction.
func ConvictionKey(fingerprint string) string { return "conviction/" + fingerprint }

type answer = crwire.ConfigAnswer

func (t *transaction) createService(c *crwire.CreateService) *answer {
	key := ServiceKey(c.Name)
	return firstRefusal(
		func() *answer { return checkNames(c.Name) },
		func() *answer { return checkOptionalName(c.Owner) },
		func() *answer { return t.checkVersion(key) },
		func() *answer { return t.requireAbsent(key) },
		func() *answer { return t.checkLimit(key, t.state.services, MaxServices, "services") },
		func() *answer { return t.put(key, c.Name, &crwire.ServiceConfig{Name: c.Name, Owner: c.Owner}) },
	)
}

func checkOptionalName(name string) *answer {
	if name == "" {
		return nil
	}
	return checkNames(name)
}

func (t *transaction) setService(c *crwire.SetService) *answer {
	key := ServiceKey(c.Name)
	return firstRefusal(
		func() *answer { return checkNames(c.Name, c.Owner) },
		func() *answer { return t.checkVersion(key) },
		func() *answer { return t.requireExists(key) },
		func() *answer { return t.put(key, c.Name, &crwire.ServiceConfig{Name: c.Name, Owner: c.Owner}) },
	)
}

func (t *transaction) deleteService(c *crwire.DeleteService) *answer {
	key := ServiceKey(c.Name)
	return t.delete(key, func() *answer {
		switch n := t.state.kinds[c.Name]; {
		case n == 1:
			return refuse(crcode.HasKinds, key, "service %s has 1 kind; delete it first", c.Name)
		case n > 1:
			return refuse(crcode.HasKinds, key, "service %s has %d kinds; delete them first", c.Name, n)
		}
		return nil
	}, c.Name)
}

// delete deletes the object under key if the names in parts are valid, the object exists with the expected version and
// check passes.
func (t *transaction) delete(key string, check func() *answer, parts ...string) *answer {
	refused := firstRefusal(
		func() *answer { return checkNames(parts...) },
		func() *answer { return t.checkVersion(key) },
		func() *answer { return t.requireExists(key) },
		check,
	)
	if refused == nil {
		t.remove(key)
	}
	return refused
}

func noCheck() *answer { return nil }

func (t *transaction) createKind(c *crwire.CreateKind) *answer {
	key := KindKey(c.Service, c.Name)
	k := &crwire.KindConfig{
		Service: c.Service, Name: c.Name, Worth: DefaultWorth,
		DeadlineMs: DefaultDeadline.Milliseconds(), Retries: DefaultRetries,
	}
	return firstRefusal(
		func() *answer { return checkNames(c.Service, c.Name) },
		func() *answer { return applyFields(k, c.Fields) },
		func() *answer { return t.requireExists(ServiceKey(c.Service)) },
		func() *answer { return t.checkVersion(key) },
		func() *answer { return t.requireAbsent(key) },
		func() *answer {
			return t.checkLimit(key, t.state.kinds[c.Service], MaxKinds, "kinds of service "+c.Service)
		},
		func() *answer { return t.put(key, c.Service, k) },
	)
}

func (t *transaction) setKind(c *crwire.SetKind) *answer {
	key := KindKey(c.Service, c.Name)
	k := new(crwire.KindConfig)
	return firstRefusal(
		func() *answer { return checkNames(c.Service, c.Name) },
		func() *answer { return t.checkVersion(key) },
		func() *answer { return t.requireExists(key) },
		func() *answer {
			if err := proto.Unmarshal(t.state.objects[key].entry.Value, k); err != nil {
				return refuse(crcode.Internal, key, "the stored value of %s is damaged", key)
			}
			return nil
		},
		func() *answer { return applyFields(k, c.Fields) },
		func() *answer { return t.put(key, c.Service, k) },
	)
}

// applyFields sets the fields that the command contains and checks the resulting kind.
func applyFields(k *crwire.KindConfig, f *crwire.KindFields) *answer {
	if f != nil && f.Worth != nil {
		k.Worth = *f.Worth
	}
	if f != nil && f.Protected != nil {
		k.Protected = *f.Protected
	}
	if f != nil && f.Repeatable != nil {
		k.Repeatable = *f.Repeatable
	}
	if f != nil && f.DeadlineMs != nil {
		k.DeadlineMs = *f.DeadlineMs
	}
	if f != nil && f.Retries != nil {
		k.Retries = *f.Retries
	}
	return checkKind(k)
}

func checkKind(k *crwire.KindConfig) *answer {
	key := KindKey(k.Service, k.Name)
	switch {
	case k.Worth > MaxWorth:
		return refuse(crcode.BadValue, key, "worth must be from 0 to %d", MaxWorth)
	case k.DeadlineMs < 1 || k.DeadlineMs > MaxDeadline.Milliseconds():
		return refuse(crcode.BadValue, key, "deadline must be from 1ms to 10m")
	case k.Retries > MaxRetries:
		return refuse(crcode.BadValue, key, "retries must be from 0 to %d", MaxRetries)
	}
	return nil
}

func (t *transaction) deleteKind(c *crwire.DeleteKind) *answer {
	return t.delete(KindKey(c.Service, c.Name), noCheck, c.Service, c.Name)
}

func (t *transaction) drainServer(c *crwire.DrainServer) *answer {
	key := ServerKey(c.Node)
	return firstRefusal(
		func() *answer { return checkNames(c.Node) },
		func() *answer { return t.checkVersion(key) },
		func() *answer {
			refused := t.requireAbsent(key)
			if refused != nil {
				refused.Detail = "the server of node " + c.Node + " is drained already; use return server to give it work again"
			}
			return refused
		},
		func() *answer { return t.checkLimit(key, t.state.drained, MaxDrainedServers, "drained servers") },
		func() *answer { return t.put(key, "", &crwire.ServerConfig{Node: c.Node, Drained: true}) },
	)
}

func (t *transaction) returnServer(c *crwire.ReturnServer) *answer {
	return t.delete(ServerKey(c.Node), noCheck, c.Node)
}

func (t *transaction) assignGroups(c *crwire.AssignGroups) *answer {
	if t.cmd.IfVersion != nil {
		return refuse(crcode.BadValue, "", "assign takes no expected version; the group epochs guard it")
	}
	if len(c.Groups) == 0 || len(c.Groups) > MaxGroups {
		return refuse(crcode.BadValue, "", "assign takes 1 to %d groups", MaxGroups)
	}
	seen := make(map[uint32]bool, len(c.Groups))
	for _, g := range c.Groups {
		if g == nil || seen[g.Number] {
			return refuse(crcode.BadValue, "", "a group is empty or stands twice")
		}
		seen[g.Number] = true
		if refused := t.checkGroup(g); refused != nil {
			return refused
		}
	}
	for _, g := range c.Groups {
		if refused := t.put(GroupKey(g.Number), "", g); refused != nil {
			return refused
		}
	}
	t.key = "group"
	return nil
}

// checkGroup checks the new state of a keeper group against the stored one. It accepts either the next group epoch with
// the stored members as previous members, or the stored epoch with the same members and a fence that is not lower. Hence
// two assigners that read the same group epoch cannot both write the next one.
func (t *transaction) checkGroup(g *crwire.KeeperGroup) *answer {
	key := GroupKey(g.Number)
	if refused := checkMembers(g); refused != nil {
		return refused
	}
	stored := new(crwire.KeeperGroup)
	if o := t.state.liveObject(key); o != nil {
		if err := proto.Unmarshal(o.entry.Value, stored); err != nil {
			return refuse(crcode.Internal, key, "the stored value of %s is damaged", key)
		}
	}
	switch {
	case g.GroupEpoch == stored.GroupEpoch+1:
		if !equalMembers(g.Previous, stored.Members) {
			return refuse(crcode.BadValue, key, "the previous members of %s are not the stored ones", key)
		}
	case g.GroupEpoch == stored.GroupEpoch && g.GroupEpoch > 0 && g.FenceMs >= stored.FenceMs &&
		equalMembers(g.Members, stored.Members) && equalMembers(g.Previous, stored.Previous):
	default:
		return t.conflict(key)
	}
	return nil
}

func equalMembers(a, b []*crwire.KeeperMember) bool {
	return slices.EqualFunc(a, b, func(x, y *crwire.KeeperMember) bool { return proto.Equal(x, y) })
}

func checkMembers(g *crwire.KeeperGroup) *answer {
	key := GroupKey(g.Number)
	if g.Number >= MaxGroups {
		return refuse(crcode.BadValue, key, "group numbers run from 0 to %d", MaxGroups-1)
	}
	if len(g.Members) == 0 || len(g.Members) > MaxGroupMembers || len(g.Previous) > MaxGroupMembers {
		return refuse(crcode.BadValue, key, "a group has 1 to %d members", MaxGroupMembers)
	}
	nodes := make(map[string]bool)
	for _, m := range g.Members {
		if nodes[m.GetNode()] {
			return refuse(crcode.BadValue, key, "node %s is twice in the group", m.GetNode())
		}
		nodes[m.GetNode()] = true
	}
	for _, m := range append(slices.Clone(g.Members), g.Previous...) {
		if refused := checkNames(m.GetNode()); refused != nil {
			return refused
		}
		if max(len(m.Incarnation), len(m.Address), len(m.Domain)) > maxFieldLen {
			return refuse(crcode.BadValue, key, "a field of member %s is longer than %d", m.Node, maxFieldLen)
		}
	}
	return nil
}

func (t *transaction) convict(c *crwire.Convict) *answer {
	v := c.Conviction
	if err := CheckFingerprint(v.GetFingerprint()); err != nil {
		return refusal(err)
	}
	key := ConvictionKey(v.Fingerprint)
	var expired []string
	refused := firstRefusal(
		func() *answer { return checkNames(v.Service, v.Kind) },
		func() *answer {
			if v.ExpiresMs <= v.SinceMs {
				return refuse(crcode.BadValue, key, "a conviction must expire after its start")
			}
			return nil
		},
		func() *answer { return t.checkVersion(key) },
		func() *answer {
			if t.state.liveObject(key) != nil {
				return nil
			}
			expired = t.expiredConvictions()
			return t.checkLimit(key, t.state.convictions-len(expired), MaxConvictions, "convictions")
		},
		func() *answer { return t.put(key, v.Service, v) },
	)
	if refused == nil {
		for _, old := range expired {
			t.remove(old)
		}
	}
	return refused
}

// expiredConvictions returns the keys of the convictions that had expired when the command was proposed. The time comes
// from the command, so that all replicas get the same result.
func (t *transaction) expiredConvictions() []string {
	var keys []string
	for _, o := range t.state.Objects("conviction/") {
		v := new(crwire.Conviction)
		if proto.Unmarshal(o.Entry.Value, v) == nil && v.ExpiresMs <= t.cmd.ProposedMs {
			keys = append(keys, o.Entry.Key)
		}
	}
	return keys
}

func (t *transaction) liftConviction(c *crwire.LiftConviction) *answer {
	if err := CheckFingerprint(c.Fingerprint); err != nil {
		return refusal(err)
	}
	return t.delete(ConvictionKey(c.Fingerprint), noCheck)
}
