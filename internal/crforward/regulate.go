package crforward

import (
	"math"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
)

// Figures of the lines that tell of the regulation.
const (
	// shareStep is the change of the intensity that is told, and shareEvery the least time between two lines.
	shareStep  = 0.1
	shareEvery = time.Second
)

// step steps the regulator.
func (g *gate) step(now time.Time) {
	g.regulator.Tick(now)
	intensity := g.regulator.Intensity()
	if math.Abs(intensity-g.told) < shareStep || now.Sub(g.toldAt) < shareEvery {
		return
	}
	g.told, g.toldAt = intensity, now
	l := g.load()
	if l == nil {
		return
	}
	g.node.Log.Emit(now, crevent.State, crevent.ShareChanged, crevent.KeyService, g.node.Settings.Service, crevent.KeyShare, intensity,
		crevent.KeyDetail, g.regulator.Demand(), crevent.KeyRunning, l.InFlight, crevent.KeyQueue, l.Queued, crevent.KeySlots, l.Limit)
}
