package crcapacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crnode"
)

// backend is a stub backend server. Each run takes a fixed time, and the answer contains the measured handler time.
type backend struct {
	service, node string
	slots         int
	work          atomic.Int64
	address       string

	srv    *http.Server
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

const (
	announceInterval = 500 * time.Millisecond
	// answerBytes is the length of an answer, which starts with the handler time in nanoseconds.
	answerBytes = 1 << 10
	maxIdle     = 512
)

func (b *backend) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address = ln.Addr().String()
	b.srv = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 2 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.wg.Go(func() { _ = b.srv.Serve(ln) })
	b.wg.Go(func() { b.announceLoop(ctx) })
	return nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if d := time.Duration(b.work.Load()); d > 0 {
		time.Sleep(d)
	}
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	answer := make([]byte, answerBytes)
	copy(answer, fmt.Sprintf("%d ", time.Since(start).Nanoseconds()))
	_, _ = w.Write(answer)
}

func (b *backend) announceLoop(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		_ = b.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *backend) announce(ctx context.Context) error {
	body, err := json.Marshal(crnode.Announcement{
		Service: b.service, Address: b.address, Instance: b.address, Slots: b.slots, Connections: 4 * b.slots, State: crnode.StateServing,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.node+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}

func (b *backend) stop() {
	b.cancel()
	_ = b.srv.Close()
	b.wg.Wait()
}
