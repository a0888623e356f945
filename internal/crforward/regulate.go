package crforward

import (
	"math"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
)

// Limits of the log events about pressure.
const (
	// pressureLogStep is the change of the pressure that is logged, pressureLogInterval the minimum time between two
	// events. A pressure above 1 is logged at each interval, changed or not.
	pressureLogStep     = 0.2
	pressureLogInterval = time.Second
	// refusedLogStep is the change of the share of runs that the server refuses that is logged.
	refusedLogStep = 0.2
)

// stepRegulator updates the pressure and logs it if it has changed.
func (g *gate) stepRegulator(now time.Time) {
	g.followKnee(now)
	g.regulator.Tick(now)
	refused := g.stepRefusals(now)
	pressure := g.regulator.Pressure()
	changed := math.Abs(pressure-g.loggedPressure) >= pressureLogStep || math.Abs(refused-g.loggedRefused) >= refusedLogStep
	if !changed && pressure <= 1 || now.Sub(g.pressureLoggedAt) < pressureLogInterval {
		return
	}
	g.loggedPressure, g.loggedRefused, g.pressureLoggedAt = pressure, refused, now
	l := g.feedback()
	if l == nil {
		return
	}
	g.node.Log.Emit(now, crevent.State, crevent.PressureChanged, crevent.KeyService, g.node.Settings.Service, crevent.KeyPressure, pressure,
		crevent.KeyDetail, g.regulator.Demand(), crevent.KeyRunning, l.InFlight, crevent.KeyQueue, l.Queued, crevent.KeySlots, l.Limit,
		crevent.KeyRefused, refused)
}
