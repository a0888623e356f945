package crexchange

import (
	"io"
	"net/http"
	"time"
)

// upload is the sending of a request body. Its error is set before ended is closed; nil stands for a request without a
// body.
type upload struct {
	ended chan struct{}
	err   error
}

// complete reports whether the body has been sent completely.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// awaitComplete reports whether the body has been sent completely, and waits for the result for a short time.
func (u *upload) awaitComplete() bool {
	if u == nil {
		return true
	}
	timer := time.NewTimer(uploadEndWait)
	defer timer.Stop()
	select {
	case <-u.ended:
	case <-timer.C:
	}
	return u.complete()
}

// trackedBody records whether the body was read to its end.
type trackedBody struct {
	r        io.Reader
	complete bool
	// untilClose is set for a body that ends with its connection, while the request has a body. If the connection was reset,
	// a write of the request may get the error of the reset, and a read then sees only the end.
	untilClose *upload
}

func newTrackedBody(r *http.Response, sent *upload) *trackedBody {
	b := &trackedBody{r: r.Body}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody {
		b.untilClose = sent
	}
	return b
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		if !b.untilClose.awaitComplete() {
			return n, errCut
		}
		b.complete = true
	}
	return n, err
}

// BodyComplete reports whether the body was read to its end.
func (r *Response) BodyComplete() bool { return r.body.complete }
