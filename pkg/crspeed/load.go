package crspeed

import (
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Load is what a backend server reports about itself with an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes at this moment relative to the usual (1); zero means that it is not reported.
	Slowness float64
}

const (
	// maxFigure is far above the slots of any server; larger figures come from a faulty server.
	maxFigure = 1 << 16
	// minSlowness and maxSlowness bound the slowness, so that one false figure cannot stop or multiply the work that a
	// server is thought to do.
	minSlowness, maxSlowness = 0.1, 10.0
	// loadFigures and slownessFigure are the number of figures that each report has, and the position of the optional one.
	loadFigures, slownessFigure = 3, 3
)

// ParseLoad decodes a load report: running, waiting and slots, separated by commas, and optionally the slowness in percent.
func ParseLoad(text string) (Load, error) {
	parts := strings.Split(text, ",")
	if len(parts) != loadFigures && len(parts) != slownessFigure+1 {
		return Load{}, crcode.New(crcode.BadValue, "a load report has %d figures", len(parts))
	}
	var figures [slownessFigure + 1]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 || v > maxFigure {
			return Load{}, crcode.New(crcode.BadValue, "figure %d of a load report", i+1)
		}
		figures[i] = v
	}
	l := Load{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
	if len(parts) > slownessFigure {
		if figures[slownessFigure] == 0 {
			return Load{}, crcode.New(crcode.BadValue, "a slowness of zero")
		}
		l.Slowness = min(max(float64(figures[slownessFigure])/100, minSlowness), maxSlowness)
	}
	return l, nil
}
