// Package crwire is the protocol between the processes of citronramp: a handshake with a version and a shared secret,
// then yamux streams that carry bounded protobuf messages to typed handlers in both directions.
package crwire

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -modfile=../../tools/go.mod -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative *.proto"

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
)

// Version is the protocol version. A process refuses peers with any other version.
const Version = 1

// Limits of the protocol.
const (
	// MaxMessageBytes limits the size of one envelope, which has to hold a body of 1 MiB and its headers.
	MaxMessageBytes = 2 << 20
	// maxHelloBytes limits the size of a handshake message, which is read before the peer is authenticated.
	maxHelloBytes = 1 << 10
	// handshakeTimeout limits the duration of the whole handshake.
	handshakeTimeout = 2 * time.Second
)

// Roles of a process, which it sends in the handshake.
const (
	RoleNode    = "node"
	RoleControl = "control"
	RoleTool    = "tool"
)

// Peer identifies a process by its name, its incarnation, which changes with each restart, and its role.
type Peer struct {
	Name        string
	Incarnation string
	Role        string
}

// Handler handles one request. It may call send for each response of a stream. A message that it returns is sent as the last
// response; a nil message without an error ends a stream.
type Handler func(ctx context.Context, from *Session, payload []byte, send func(proto.Message) error) (proto.Message, error)

// Mux maps method names to handlers. All methods must be registered before the first session starts.
type Mux struct {
	handlers map[string]Handler
}

// message constrains a type parameter to a pointer to a generated message type.
type message[T any] interface {
	*T
	proto.Message
}

// Handle registers a method that has one request and one response.
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

// HandleStream registers a method whose handler may send any number of responses until it returns.
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

// Call sends one request and waits for its response. Errors are *crcode.Error values. With the code ConnectionLost, the request
// may have been received.
func Call[Resp any, PResp message[Resp]](ctx context.Context, s *Session, method string, req proto.Message) (PResp, error) {
	st, err := s.openStream(ctx, method, req)
	if err != nil {
		return nil, err
	}
	resp := PResp(new(Resp))
	if err := st.recv(resp); err != nil {
		st.close()
		return nil, err
	}
	st.release()
	return resp, nil
}

// Receive sends one request and passes each response to fn until the handler returns, fn fails or ctx ends.
func Receive[Resp any, PResp message[Resp]](ctx context.Context, s *Session, method string, req proto.Message, fn func(PResp) error) error {
	st, err := s.openStream(ctx, method, req)
	if err != nil {
		return err
	}
	defer st.close()
	for {
		resp := PResp(new(Resp))
		if err := st.recv(resp); err != nil {
			if err == errStreamEnd {
				return nil
			}
			return err
		}
		if err := fn(resp); err != nil {
			return err
		}
	}
}
