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
	// sheddingNodes bounds the nodes that one query asks; their answers stand for the service.
	sheddingNodes = 128
	// sheddingTimeout bounds the answer of one node.
	sheddingTimeout = time.Second
	// sheddingParallel bounds the questions under way.
	sheddingParallel = 16
)

// shedKey names a kind in the sums of a shedding query.
type shedKey struct{ service, kind string }

// shedding asks nodes what their gates refused lately and adds it up by kind.
func (c *Control) shedding(ctx context.Context, service string) crprint.Shedding {
	entries, _ := c.directory.Members()
	entries = slices.DeleteFunc(slices.Clone(entries), func(e *crwire.DirectoryEntry) bool {
		return service != "" && e.GetService() != service
	})
	answers := c.askShedding(ctx, entries[:min(len(entries), sheddingNodes)])
	sums := map[shedKey]crprint.Shed{}
	for _, a := range answers {
		for _, k := range a.GetKinds() {
			key := shedKey{k.GetService(), k.GetKind()}
			row := sums[key]
			row.Service, row.Kind, row.WindowMS, row.Why = key.service, key.kind, a.GetWindowMs(), a.GetWhy()
			row.Refused += k.GetRefused()
			row.Nodes++
			sums[key] = row
		}
	}
	return crprint.Shedding{Shedding: c.shedRows(sums)}
}

// shedRows adds class and worth and sorts the rows by service and kind.
func (c *Control) shedRows(sums map[shedKey]crprint.Shed) []crprint.Shed {
	var kinds crprint.Kinds
	c.machine.read(func(s *crconfig.State) { kinds = crprint.KindsOf(s, "") })
	rows := make([]crprint.Shed, 0, len(sums))
	for key, row := range sums {
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

func (c *Control) askShedding(ctx context.Context, entries []*crwire.DirectoryEntry) []*crwire.SheddingResponse {
	ctx, cancel := context.WithTimeout(ctx, sheddingTimeout)
	defer cancel()
	var (
		mu  sync.Mutex
		out []*crwire.SheddingResponse
		wg  sync.WaitGroup
	)
	slots := make(chan struct{}, sheddingParallel)
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
