package crintake

import (
	"errors"
	"net"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// peersName is the name of the listener for other processes of the system in logs.
const peersName = "inner"

// LimitPeers bounds the connections that an endpoint accepts from other processes of the system, so that they leave room for
// the given share of the clients' connections. The limits of the budget must be set, and the endpoint must not serve yet.
func (b *Budget) LimitPeers(e *crwire.Endpoint, clients Share) {
	e.MaxAccepted, e.MaxBytes = b.MaxSessions(clients), b.SessionMemory()
	failed := e.OnRefused
	e.OnRefused = func(from net.Addr, err error) {
		switch {
		case errors.Is(err, crwire.ErrTooManyConnections):
			b.met(time.Now(), peersName, Connections)
		case errors.Is(err, crwire.ErrTooMuchMemory):
			b.met(time.Now(), peersName, Memory)
		case failed != nil:
			failed(from, err)
		}
	}
}
