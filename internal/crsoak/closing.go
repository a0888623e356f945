package crsoak

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
)

// Kinds of the final fault of a run: a simulated power loss kills many processes at the same moment.
const (
	BlackoutCore Kind = "blackout_core"
	BlackoutAll  Kind = "blackout_all"
	// BlackoutTorn also leaves an unfinished record at the end of each coordinator's log.
	BlackoutTorn Kind = "blackout_torn"
)

// maxTornBytes is the maximum length of the unfinished record; it is below the size of a record's header, so that the
// written bytes cannot form a complete record.
const maxTornBytes = 7

// Closing returns the final fault of a run, drawn from the seed.
func Closing(seed uint64, at time.Duration) Action {
	rng := rand.New(rand.NewPCG(seed, 3))
	kinds := []Kind{BlackoutCore, BlackoutAll, BlackoutTorn}
	return Action{At: at, Kind: kinds[rng.IntN(len(kinds))], For: 200*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second)))}
}

// injectClosing injects the final fault.
func (r *run) injectClosing(ctx context.Context, a Action) error {
	hurt := slices.Clone(r.cores)
	if a.Kind == BlackoutAll {
		hurt = append(hurt, r.nodes...)
		for i := range r.nodes {
			r.promises.faultBegins(i)
			defer func() { r.promises.faultEnds(time.Now(), i) }()
		}
	}
	for _, p := range hurt {
		p.kill()
	}
	if a.Kind == BlackoutTorn {
		for _, p := range r.cores {
			if err := appendTornRecord(p.settings.DataDir, r.Seed); err != nil {
				return err
			}
		}
	}
	if err := crpause.For(ctx, a.For); err != nil {
		return err
	}
	var err error
	for _, p := range hurt {
		err = errors.Join(err, p.start())
	}
	return err
}

// appendTornRecord appends an unfinished record to the newest segment of a log, as a write that a power loss interrupted
// would.
func appendTornRecord(dir string, seed uint64) error {
	segments, err := filepath.Glob(filepath.Join(dir, "segment-*"))
	if err != nil {
		return err
	}
	if len(segments) == 0 {
		// A wipe removed the data folder a moment ago, and the process has not stored anything since.
		return nil
	}
	slices.Sort(segments)
	f, err := os.OpenFile(segments[len(segments)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	rest := make([]byte, 1+rng.IntN(maxTornBytes))
	for i := range rest {
		rest[i] = byte(rng.Uint32())
	}
	_, err = f.Write(rest)
	return errors.Join(err, f.Close())
}
