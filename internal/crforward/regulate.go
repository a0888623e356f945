package crforward

import (
	"math"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
)

// Figures of the lines that tell of the regulation.
const (
	// pressureStep is the change of the pressure that is told, and pressureEvery the least time between two lines. A pressure
	// above 1 is told each time, changed or not.
	pressureStep  = 0.2
	pressureEvery = time.Second
)

// step steps the regulator.
func (g *gate) step(now time.Time) {
	g.regulator.Tick(now)
	pressure := g.regulator.Pressure()
	changed := math.Abs(pressure-g.told) >= pressureStep
	if !changed && pressure <= 1 || now.Sub(g.toldAt) < pressureEvery {
		return
	}
	g.told, g.toldAt = pressure, now
	l := g.load()
	if l == nil {
		return
	}
	g.node.Log.Emit(now, crevent.State, crevent.PressureChanged, crevent.KeyService, g.node.Settings.Service, crevent.KeyPressure, pressure,
		crevent.KeyDetail, g.regulator.Demand(), crevent.KeyRunning, l.InFlight, crevent.KeyQueue, l.Queued, crevent.KeySlots, l.Limit)
}
