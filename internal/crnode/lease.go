package crnode

import (
	"sync"
	"time"
)

// Timing of the announcements of the backend server.
const (
	// announceInterval is the interval at which a backend server announces itself.
	announceInterval = 500 * time.Millisecond
	// leaseDuration tolerates the loss of two announcements and still ends new work within 2 s.
	leaseDuration = 1500 * time.Millisecond
)

// States of a backend server.
const (
	StateStarting = "starting"
	StateServing  = "serving"
	StateLeaving  = "leaving"
)

// Announcement is the state that a backend server reports to its node, the body of POST /v1/announce.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP address and port of the backend server.
	Address string `json:"address"`
	// Instance changes each time the backend server starts.
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
	// Connections is the number of connections that the backend server accepts.
	Connections int `json:"connections"`
	// Load is the fraction of the slots in use as measured by the backend server, 0 to 1.
	Load  float64 `json:"load"`
	State string  `json:"state"`
}

// lease holds the last announcement and the time until which it is valid.
type lease struct {
	mu    sync.Mutex
	last  Announcement
	until time.Time
}

// renew stores an announcement and returns the previous one.
func (l *lease) renew(now time.Time, a Announcement) Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.last
	l.last = a
	l.until = now.Add(leaseDuration)
	return before
}

// end expires the lease immediately, after the backend server was found dead.
func (l *lease) end(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.Instance == instance {
		l.until = time.Time{}
	}
}

// current returns the last announcement and whether the backend server accepts new work.
func (l *lease) current(now time.Time) (Announcement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, l.last.State == StateServing && now.Before(l.until)
}
