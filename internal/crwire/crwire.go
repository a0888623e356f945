// Package crwire is the protocol between the processes of citronramp: a handshake with a version and a shared secret,
// then yamux streams that carry bounded protobuf messages to typed handlers in both directions.
package crwire

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -modfile=../../tools/go.mod -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative *.proto"

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
)

// Version is the protocol version; a process refuses every other one.
const Version = 1

// Sizes and times of the protocol.
const (
	// MaxMessageBytes bounds one envelope; it leaves room for a body of 1 MiB and its headers.
	MaxMessageBytes = 2 << 20
	// maxHelloBytes bounds a handshake message, read before the other side is known.
	maxHelloBytes = 1 << 10
	// handshakeTimeout bounds the handshake as a whole.
	handshakeTimeout = 2 * time.Second
)

// Roles of a process, as told in the handshake.
const (
	RoleNode    = "node"
	RoleControl = "control"
	RoleTool    = "tool"
)

// Peer names a process: its name, the incarnation that a restart changes, and its role.
type Peer struct {
	Name        string
	Incarnation string
	Role        string
}

// Handler answers one request; the returned message may be nil when the error is not.
type Handler func(ctx context.Context, from *Session, payload []byte, send func(proto.Message) error) (proto.Message, error)

// Mux maps method names to handlers; register every method before the first session starts.
type Mux struct {
	handlers map[string]Handler
}

// message is a pointer to a generated message type.
type message[T any] interface {
	*T
	proto.Message
}

// Handle registers a method with one request and one response.
func Handle[Req, Resp any, PReq message[Req], PResp message[Resp]](m *Mux, method string, fn func(ctx context.Context, from *Session, req PReq) (PResp, error)) {
	m.add(method, func(ctx context.Context, from *Session, payload []byte, _ func(proto.Message) error) (proto.Message, error) {
		req := PReq(new(Req))
		if err := unmarshal(payload, req); err != nil {
			return nil, err
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return resp, nil
	})
}

// HandleStream registers a method whose handler sends any number of responses until it returns.
func HandleStream[Req, Resp any, PReq message[Req], PResp message[Resp]](m *Mux, method string, fn func(ctx context.Context, from *Session, req PReq, send func(PResp) error) error) {
	m.add(method, func(ctx context.Context, from *Session, payload []byte, send func(proto.Message) error) (proto.Message, error) {
		req := PReq(new(Req))
		if err := unmarshal(payload, req); err != nil {
			return nil, err
		}
		return nil, fn(ctx, from, req, func(r PResp) error { return send(r) })
	})
}

func (m *Mux) add(method string, h Handler) {
	if m.handlers == nil {
		m.handlers = make(map[string]Handler)
	}
	m.handlers[method] = h
}

// Call sends one request and waits for its one response; errors are *crcode.Error values.
// ConnectionLost means that the request may have been received.
func Call[Resp any, PResp message[Resp]](ctx context.Context, s *Session, method string, req proto.Message) (PResp, error) {
	st, err := s.open(ctx, method, req)
	if err != nil {
		return nil, err
	}
	resp := PResp(new(Resp))
	if err := st.recv(resp); err != nil {
		st.close()
		return nil, err
	}
	st.keep()
	return resp, nil
}

// Receive sends one request and passes each response to fn until the handler ends, fn fails or ctx ends;
// it returns nil when the handler ended without error.
func Receive[Resp any, PResp message[Resp]](ctx context.Context, s *Session, method string, req proto.Message, fn func(PResp) error) error {
	st, err := s.open(ctx, method, req)
	if err != nil {
		return err
	}
	defer st.close()
	for {
		resp := PResp(new(Resp))
		if err := st.recv(resp); err != nil {
			if err == errEnd {
				return nil
			}
			return err
		}
		if err := fn(resp); err != nil {
			return err
		}
	}
}
