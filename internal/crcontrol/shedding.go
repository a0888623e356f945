package crcontrol

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crprint"
	"github.com/citronramp/citronramp/internal/crwire"
)

const (
	// maxSheddingNodes bounds the nodes that one shedding command queries. In a larger deployment their answers serve as
	// a sample.
	maxSheddingNodes = 128
	// sheddingTimeout bounds all node queries of one command together.
	sheddingTimeout = time.Second
	// maxParallelSheddingQueries bounds the concurrent node queries.
	maxParallelSheddingQueries = 16
)

// shedKey identifies a request kind in the totals of a shedding command.
type shedKey struct{ service, kind string }

// shedding queries nodes for the requests that their gates, the admission control in front of backend servers, refused
// recently and totals them by request kind.
func (c *Control) shedding(ctx context.Context, service string) crprint.Shedding {
	entries, _ := c.directory.Members()
	entries = slices.DeleteFunc(slices.Clone(entries), func(e *crwire.DirectoryEntry) bool {
		return service != "" && e.GetService() != service
	})
	answers := c.queryShedding(ctx, entries[:min(len(entries), maxSheddingNodes)])
	totals := map[shedKey]crprint.Shed{}
	for _, a := range answers {
		for _, k := range a.GetKinds() {
			key := shedKey{k.GetService(), k.GetKind()}
			row := totals[key]
			row.Service, row.Kind, row.WindowMS, row.Why = key.service, key.kind, a.GetWindowMs(), a.GetWhy()
			row.Refused += k.GetRefused()
			row.Nodes++
			totals[key] = row
		}
	}
	return crprint.Shedding{Shedding: c.shedRows(totals)}
}

// shedRows returns the totals with class and worth of each kind, sorted by service and kind.
func (c *Control) shedRows(totals map[shedKey]crprint.Shed) []crprint.Shed {
	var kinds crprint.Kinds
	c.stateMachine.read(func(s *crconfig.State) { kinds = crprint.KindsOf(s, "") })
	rows := make([]crprint.Shed, 0, len(totals))
	for key, row := range totals {
		for _, k := range kinds.Kinds {
			if k.Service == key.service && k.Name == key.kind {
				row.Class, row.Worth = k.Class, k.Worth
			}
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b crprint.Shed) int {
		return strings.Compare(a.Service+"/"+a.Kind, b.Service+"/"+b.Kind)
	})
	return rows
}

// queryShedding queries the nodes concurrently; nodes that fail or do not answer in time are left out.
func (c *Control) queryShedding(ctx context.Context, entries []*crwire.DirectoryEntry) []*crwire.SheddingResponse {
	ctx, cancel := context.WithTimeout(ctx, sheddingTimeout)
	defer cancel()
	var (
		mu  sync.Mutex
		out []*crwire.SheddingResponse
		wg  sync.WaitGroup
	)
	slots := make(chan struct{}, maxParallelSheddingQueries)
	for _, e := range entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			s, err := c.endpoint.Session(ctx, e.GetAddress())
			if err != nil {
				return
			}
			resp, err := crwire.Call[crwire.SheddingResponse](ctx, s, crnode.MethodShedding, &crwire.SheddingRequest{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, resp)
		}()
	}
	wg.Wait()
	return out
}
