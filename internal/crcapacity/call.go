package crcapacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// Call measures the overhead of nodes on a call, compared with direct HTTP calls to the same backend server in the same run.
type Call struct {
	// Slots is the number of slots of the backend server; half of them are kept busy.
	Slots  int
	Work   time.Duration
	Rounds int
	Round  time.Duration
	// CostCalls is the number of calls on each path and in each round when processor time and allocations are measured.
	CostCalls int
	// Processes runs each control instance and node as a separate process.
	Processes bool
	Out       io.Writer
}

// callNodes is the number of nodes, large enough that most groups have their three keepers (the nodes that store request ids)
// on other nodes than the gate.
const callNodes = 8

// path is one of the compared ways to call the backend server.
type path struct {
	name string
	url  string
	// prefix is the prefix of request ids; it is empty if the kind is repeatable and needs no id.
	prefix string
}

// sample is the duration of one call: in total, and without the time in the handler of the backend server.
type sample struct{ total, outside time.Duration }

// Run runs the measurements and prints the tables.
func (m Call) Run(ctx context.Context) (err error) {
	c := &cluster{processes: m.Processes}
	defer func() { err = errs.Combine(err, c.stop()) }()
	if err := c.start(1, false); err != nil {
		return err
	}
	if err := c.createServices(callNodes); err != nil {
		return err
	}
	if err := c.addNodes(callNodes, callNodes); err != nil {
		return err
	}
	if err := c.waitGroupsSettled(); err != nil {
		return err
	}
	b := &backend{service: "s0", node: c.nodes[0].Settings.Listen, slots: m.Slots}
	if err := b.start(); err != nil {
		return err
	}
	defer b.stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle, DisableCompression: true}}
	defer client.CloseIdleConnections()
	paths, err := m.paths(ctx, c, b)
	if err != nil {
		return err
	}
	for _, p := range paths {
		if err := c.retryUntil(func() error { return p.warmUp(ctx, client) }); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	if err := m.latency(ctx, b, client, paths); err != nil {
		return err
	}
	if err := m.cost(ctx, c, b, client, paths); err != nil {
		return err
	}
	return m.memory(c)
}

// memory prints the resident memory of the node processes after the calls.
func (m Call) memory(c *cluster) error {
	if !m.Processes {
		return nil
	}
	var mb []float64
	for _, pid := range c.pids[len(c.controls):] {
		v, err := processMemory(pid)
		if err != nil {
			return err
		}
		mb = append(mb, v)
	}
	_, err := fmt.Fprintf(m.Out, "\nResident memory of a node process after the calls, MB: %s\n", Summarize(mb))
	return err
}

func (m Call) paths(ctx context.Context, c *cluster, b *backend) ([]path, error) {
	var failed error
	via := func(name, kind string, n *crnode.Node) path {
		p := path{name: name, url: "http://" + n.Settings.Listen + "/v1/call/s0/" + kind}
		if kind == "once" {
			var err error
			p.prefix, err = requestIDPrefix(ctx, n.Settings.Listen)
			failed = errs.Combine(failed, err)
		}
		return p
	}
	same, other := c.nodes[0], c.nodes[1]
	return []path{
		{name: "direct", url: "http://" + b.address + "/read"},
		via("repeatable, entrance at the gate", "read", same),
		via("repeatable, other entrance", "read", other),
		via("non-repeatable, entrance at the gate", "once", same),
		via("non-repeatable, other entrance", "once", other),
	}, failed
}

// requestBytes is the length of a request body.
const requestBytes = 1 << 10

var requestBody = bytes.Repeat([]byte("r"), requestBytes)

func (p path) call(ctx context.Context, client *http.Client) (sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, bytes.NewReader(requestBody))
	if err != nil {
		return sample{}, err
	}
	if p.prefix != "" {
		req.Header.Set(crnode.HeaderRequestID, crrecord.NewID(p.prefix, time.Now().UnixMilli(), rand.Uint64()).String())
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return sample{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	total := time.Since(start)
	if err != nil || resp.StatusCode != http.StatusOK {
		return sample{}, errs.Combine(err, fmt.Errorf("%s: status %d: %.200s", p.name, resp.StatusCode, body))
	}
	text, _, _ := bytes.Cut(body, []byte(" "))
	ns, err := strconv.ParseInt(string(text), 10, 64)
	return sample{total, total - time.Duration(ns)}, err
}

// warmCalls is the number of consecutive calls that must succeed on each path before the measurement.
const warmCalls = 100

func (p path) warmUp(ctx context.Context, client *http.Client) error {
	for range warmCalls {
		if _, err := p.call(ctx, client); err != nil {
			return err
		}
	}
	return nil
}

// latency measures the latency of each path with workers that keep half of the slots busy. Each worker calls all paths in turn,
// in random order.
func (m Call) latency(ctx context.Context, b *backend, client *http.Client, paths []path) error {
	b.work.Store(int64(m.Work))
	added := make([]map[string][]float64, len(paths))
	for i := range added {
		added[i] = map[string][]float64{}
	}
	if _, _, err := m.round(ctx, client, paths, m.Round/4); err != nil {
		return err
	}
	calls, failures := 0, 0
	for range m.Rounds {
		got, refused, err := m.round(ctx, client, paths, m.Round)
		if err != nil {
			return err
		}
		failures += refused
		for i, s := range got {
			calls += len(s)
			for _, q := range []float64{0.5, 0.99} {
				name := fmt.Sprintf("p%.0f", 100*q)
				t, o := quantilesAt(s, q)
				t0, o0 := quantilesAt(got[0], q)
				added[i][name] = append(added[i][name], milliseconds(t-t0))
				added[i][name+" outside"] = append(added[i][name+" outside"], milliseconds(o-o0))
				added[i][name+" total"] = append(added[i][name+" total"], milliseconds(t))
			}
		}
	}
	_, _ = fmt.Fprintf(m.Out, "Latency added to a call, ms; %d slots, %d busy, work %s, %d rounds of %s, %d calls, %d more failed; median (lowest to highest) of the rounds\n",
		m.Slots, m.Slots/2, m.Work, m.Rounds, m.Round, calls, failures)
	rows := [][]string{{"path", "p50 total", "p50 added", "p99 total", "p99 added", "p50 added outside the server", "p99 added outside the server"}}
	for i, p := range paths {
		row := []string{p.name}
		for _, f := range []string{"p50 total", "p50", "p99 total", "p99", "p50 outside", "p99 outside"} {
			row = append(row, Summarize(added[i][f]).String())
		}
		rows = append(rows, row)
	}
	return writeTable(m.Out, rows)
}

// quantilesAt returns the q-quantiles of the total times and of the times outside the backend server.
func quantilesAt(s []sample, q float64) (total, outside time.Duration) {
	t := make([]time.Duration, len(s))
	o := make([]time.Duration, len(s))
	for i, x := range s {
		t[i], o[i] = x.total, x.outside
	}
	slices.Sort(t)
	slices.Sort(o)
	return quantile(t, q), quantile(o, q)
}

// maxFailed is the limit for failed calls, in percent of the successful ones; a measurement with more failures is aborted.
const maxFailed = 1

// round runs the workers for the given length and returns the samples of each path and the number of failed calls.
func (m Call) round(ctx context.Context, client *http.Client, paths []path, length time.Duration) ([][]sample, int, error) {
	var mu sync.Mutex
	var last error
	done, failures := 0, 0
	all := make([][]sample, len(paths))
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for range m.Slots / 2 {
		wg.Go(func() {
			mine := make([][]sample, len(paths))
			var errs []error
			for time.Now().Before(end) {
				for _, i := range rand.Perm(len(paths)) {
					s, err := paths[i].call(ctx, client)
					if err != nil {
						errs = append(errs, err)
						continue
					}
					mine[i] = append(mine[i], s)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if failures += len(errs); len(errs) > 0 {
				last = errs[len(errs)-1]
			}
			for i := range mine {
				done += len(mine[i])
				all[i] = append(all[i], mine[i]...)
			}
		})
	}
	wg.Wait()
	return all, failures, failureRateError(failures, done, last)
}

func failureRateError(failures, done int, last error) error {
	if 100*failures > maxFailed*done {
		return fmt.Errorf("%d calls failed, %d succeeded; the last failure: %w", failures, done, last)
	}
	return nil
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpu returns the processor time of this process and of the processes of the cluster.
func (c *cluster) cpu() time.Duration {
	sum := cpuTime()
	for _, pid := range c.pids {
		if d, err := processCPU(pid); err == nil {
			sum += d
		}
	}
	return sum
}

// costWorkers is the number of concurrent calls while processor time is measured.
const costWorkers = 4

// cost measures processor time and allocations of each path. All paths, including the direct one, include the client and the
// backend server.
func (m Call) cost(ctx context.Context, c *cluster, b *backend, client *http.Client, paths []path) error {
	b.work.Store(0)
	cpu, allocs, size := make([][]float64, len(paths)), make([][]float64, len(paths)), make([][]float64, len(paths))
	for range m.Rounds {
		for i, p := range paths {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpu0 := c.cpu()
			if err := m.burst(ctx, client, p); err != nil {
				return err
			}
			used := c.cpu() - cpu0
			runtime.ReadMemStats(&after)
			n := float64(m.CostCalls)
			cpu[i] = append(cpu[i], float64(used.Microseconds())/n)
			allocs[i] = append(allocs[i], float64(after.Mallocs-before.Mallocs)/n)
			size[i] = append(size[i], float64(after.TotalAlloc-before.TotalAlloc)/n/1000)
		}
	}
	_, _ = fmt.Fprintf(m.Out, "\nCost of a call, caller and backend server included; %d rounds of %d calls, %d at a time; median (lowest to highest)\n", m.Rounds, m.CostCalls, costWorkers)
	rows := [][]string{{"path", "processor time, us", "above direct, us", "allocations in this process", "above direct", "allocated, KB"}}
	for i, p := range paths {
		c, a := Summarize(cpu[i]), Summarize(allocs[i])
		rows = append(rows, []string{
			p.name, c.String(), fmt.Sprintf("%.1f", c.Median-Summarize(cpu[0]).Median),
			fmt.Sprintf("%.0f", a.Median), fmt.Sprintf("%.0f", a.Median-Summarize(allocs[0]).Median), fmt.Sprintf("%.1f", Summarize(size[i]).Median),
		})
	}
	return writeTable(m.Out, rows)
}

func (m Call) burst(ctx context.Context, client *http.Client, p path) error {
	var wg sync.WaitGroup
	var failures atomic.Int64
	var last atomic.Pointer[error]
	for range costWorkers {
		wg.Go(func() {
			for range m.CostCalls / costWorkers {
				if _, err := p.call(ctx, client); err != nil {
					failures.Add(1)
					last.Store(&err)
				}
			}
		})
	}
	wg.Wait()
	if n := int(failures.Load()); n > 0 {
		return failureRateError(n, m.CostCalls-n, *last.Load())
	}
	return nil
}
