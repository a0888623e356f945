package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// photoBytes is the largest upload of the site's kind weigh-photo.
	photoBytes = 360_000
	// serverPause is how long the server does not read; its caller has much more time.
	serverPause  = 2500 * time.Millisecond
	uploads      = 8
	firstReading = 10_000
)

// slowServer stops the node that took some uploads from their clients, while the server at another node pauses in reading them,
// and counts the uploads that the system broke off with an answer of its own.
func slowServer(ctx context.Context, d *deployment, trouble bool) (broken int, err error) {
	var stopping atomic.Bool
	reads := func(body io.Reader) (int64, error) {
		first, err := io.CopyN(io.Discard, body, firstReading)
		if err == nil && trouble && stopping.Load() {
			time.Sleep(serverPause)
		}
		rest, restErr := io.Copy(io.Discard, body)
		return first + rest, errors.Join(err, restErr)
	}
	front, err := d.startPair(ctx, &server{read: reads, answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "stored") }})
	if err != nil {
		return 0, err
	}
	if err := d.configure(photoRoute); err != nil {
		return 0, err
	}
	conns, err := firstUploads(d, front.settings.Listen.Outbound)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	if err != nil {
		return 0, err
	}
	d.record.add("SIGTERM to %s, grace %s", front.settings.NodeName, grace)
	if err := front.signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	stopping.Store(true)
	time.Sleep(200 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, c := range conns {
		wg.Go(func() {
			a, sendErr := upload(d, c, i, 2)
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, sendErr)
			if a.err != nil || a.status != http.StatusOK || !a.stamped {
				broken++
			}
		})
	}
	wg.Wait()
	return broken, err
}

// firstUploads opens the connections of the clients and sends a first upload on each.
func firstUploads(d *deployment, address string) (conns []net.Conn, err error) {
	for i := range uploads {
		c, err := dialClient(address)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
		if a, err := upload(d, c, i, 1); err != nil || a.status != http.StatusOK {
			return conns, fmt.Errorf("the first upload got %s, %w", a, err)
		}
	}
	return conns, nil
}

// upload sends a photo and returns its answer.
func upload(d *deployment, c net.Conn, client, turn int) (answer, error) {
	r := request{
		id: fmt.Sprintf("%08x%08x", client+1, turn), method: http.MethodPost, path: "/photos/2f", body: bytes.NewReader(bytes.Repeat([]byte{byte(client)}, photoBytes)),
		length: photoBytes, timeout: requestBudget,
	}
	sent := time.Now()
	if err := send(c, r); err != nil {
		return answer{}, err
	}
	a := receive(bufio.NewReader(c), r)
	d.record.add("client %d: upload %s: answer after %.3f s: %s", client, r.id, time.Since(sent).Seconds(), a)
	return a, nil
}
