package crforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crwire"
)

// Bounds of a search for a coordinator.
const (
	// askLimit bounds the question who belongs to the core.
	askLimit = time.Second
	// headStart is how long a coordinator may stay silent before the next is asked beside it: several round trips within a
	// region, and short beside the 2 s in which a document must be in force.
	headStart = 100 * time.Millisecond
	// maxAsked bounds the coordinators that a node asks at once, so that a slow core is not asked by every node at every
	// member.
	maxAsked = 8
)

// contact is a coordinator that has answered.
type contact struct {
	address string
	session *crwire.Session
	view    *crwire.CoreView
}

// grade tells how well a coordinator serves a tie.
type grade int

const (
	useless grade = iota
	// stranger is no member of the core: it has the directory, but hears of no document.
	stranger
	// unconfirmed is a member that hears from no leader.
	unconfirmed
	// shared is a confirmed member that the other tie holds.
	shared
	wanted
)

// answer is what came of asking one coordinator.
type answer struct {
	contact contact
	grade   grade
}

// find asks the addresses in turn until one is wanted, otherwise it returns the best of those that answered. One that is
// silent holds up the others for headStart only.
func find(ctx context.Context, addresses []string, ask func(context.Context, string) (contact, grade)) (contact, bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(addresses))
	var best answer
	for asked, open := 0, 0; best.grade < wanted && (asked < len(addresses) || open > 0); {
		if asked < len(addresses) && open < maxAsked {
			a := addresses[asked]
			wg.Go(func() {
				c, g := ask(ctx, a)
				answers <- answer{c, g}
			})
			asked++
			open++
		}
		turn, stop := context.WithTimeout(ctx, headStart)
		select {
		case a := <-answers:
			open--
			if a.grade > best.grade {
				best = a
			}
		case <-turn.Done():
			if ctx.Err() != nil || asked == len(addresses) && best.grade > useless {
				stop()
				return best.contact, best.grade > useless
			}
		}
		stop()
	}
	return best.contact, best.grade > useless
}

// ask asks a coordinator who belongs to the core.
func (n *Node) ask(ctx context.Context, address string, t tie, takeAny bool) (contact, grade) {
	if !t.directory && n.follower.held(address, t) {
		return contact{}, useless
	}
	limited, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	c := contact{address: address}
	var err error
	if c.session, err = n.endpoint.Session(limited, address); err == nil {
		c.view, err = crwire.Call[crwire.CoreView](limited, c.session, crcoord.MethodHello, &crwire.CoreHello{Name: n.Settings.Name})
	}
	if err != nil {
		if ctx.Err() == nil {
			n.Counters.Add("coordinator_unreachable", 1)
			n.follower.fail(time.Now(), address)
		}
		return contact{}, useless
	}
	n.follower.learn(c.view.GetVoters(), c.view.GetOthers())
	return c, c.judge(n.follower.held(address, t), takeAny)
}

// judge grades a coordinator that answered; held is set when the other tie has it, takeAny when even one that is no member
// is better than none.
func (c contact) judge(held, takeAny bool) grade {
	switch {
	case c.view.GetConfirmed() && held:
		return shared
	case c.view.GetConfirmed():
		return wanted
	case slices.Contains(c.view.GetVoters(), c.address):
		return unconfirmed
	case takeAny:
		return stranger
	default:
		return useless
	}
}
