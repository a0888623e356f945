package crwire

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkCall measures round trips over loopback with 1 KiB in each direction, for one caller and for ten concurrent callers.
func BenchmarkCall(b *testing.B) {
	for _, callers := range []int{1, 10} {
		b.Run(map[int]string{1: "callers=1", 10: "callers=10"}[callers], func(b *testing.B) {
			c := qt.New(b)
			server := &Endpoint{Identity: Identity{Self: Peer{Name: "b", Incarnation: "1", Role: RoleNode}, Secret: []byte("secret")}, Mux: &Mux{}}
			Handle(server.Mux, "echo", func(_ context.Context, _ *Session, req *CallRequest) (*CallResponse, error) {
				return &CallResponse{RequestId: req.GetRequestId(), Body: req.GetBody()}, nil
			})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			done := make(chan struct{})
			go func() { defer close(done); _ = server.Serve(ln) }()
			client := &Endpoint{Identity: Identity{Self: Peer{Name: "a", Incarnation: "1", Role: RoleNode}, Secret: []byte("secret")}, Mux: &Mux{}}
			s, err := client.Session(context.Background(), ln.Addr().String())
			c.Assert(err, qt.IsNil)
			body := make([]byte, 1024)
			work := make(chan struct{})
			ended := make(chan error)
			for range callers {
				go func() {
					var last error
					for range work {
						if _, err := Call[CallResponse](context.Background(), s, "echo", &CallRequest{RequestId: "id", Body: body}); err != nil {
							last = err
						}
					}
					ended <- last
				}()
			}
			b.ReportAllocs()
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			for range callers {
				c.Assert(<-ended, qt.IsNil)
			}
			_ = ln.Close()
			client.Close()
			server.Close()
			<-done
		})
	}
}
