package crwire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// nonceBytes is the length of the random value that each side contributes to the proofs of the secret.
const nonceBytes = 16

// Identity holds the local peer and the shared secret that a process uses in handshakes.
type Identity struct {
	Self   Peer
	Secret []byte
}

func (id Identity) hello() (*Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, crcode.New(crcode.Internal, "%v", err)
	}
	return &Hello{Version: Version, Name: id.Self.Name, Incarnation: id.Self.Incarnation, Role: id.Self.Role, Nonce: nonce}, nil
}

// proof returns an HMAC of both nonces, which proves knowledge of the secret. It includes the side, so that one side's proof cannot
// be sent back as the proof of the other.
func (id Identity) proof(side string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, id.Secret)
	mac.Write([]byte(side))
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}

func peerFromHello(h *Hello) Peer {
	return Peer{Name: h.GetName(), Incarnation: h.GetIncarnation(), Role: h.GetRole()}
}

func checkHello(h *Hello) error {
	if h.GetVersion() != Version {
		return crcode.New(crcode.WrongProtocol, "version %d, this process speaks %d", h.GetVersion(), Version)
	}
	if len(h.GetNonce()) != nonceBytes || h.GetName() == "" {
		return crcode.New(crcode.MalformedMessage, "bad hello")
	}
	return nil
}

// dialHandshake runs the dialing side of the handshake: it sends a hello, receives a hello with a proof, sends its proof and
// receives the verdict.
func (id Identity) dialHandshake(conn net.Conn) (Peer, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, crcode.New(crcode.ConnectionLost, "%v", err)
	}
	ownHello, err := id.hello()
	if err != nil {
		return Peer{}, err
	}
	if err := writeFrame(conn, ownHello, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	var peerHello Hello
	if err := readFrame(conn, &peerHello, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	if err := checkHello(&peerHello); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(peerHello.GetProof(), id.proof("server", ownHello.Nonce, peerHello.GetNonce())) {
		return Peer{}, crcode.New(crcode.BadSecret, "the secret of %s differs", conn.RemoteAddr())
	}
	if err := writeFrame(conn, &Verdict{Proof: id.proof("client", ownHello.Nonce, peerHello.GetNonce())}, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	var v Verdict
	if err := readFrame(conn, &v, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	if v.GetCode() != 0 {
		return Peer{}, crcode.New(crcode.Code(v.GetCode()), "%s", v.GetDetail())
	}
	return peerFromHello(&peerHello), clearDeadline(conn)
}

// acceptHandshake runs the listening side of the handshake. A dialer with a wrong secret receives the code of the refusal.
func (id Identity) acceptHandshake(conn net.Conn) (Peer, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, crcode.New(crcode.ConnectionLost, "%v", err)
	}
	var peerHello Hello
	if err := readFrame(conn, &peerHello, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	ownHello, err := id.hello()
	if err != nil {
		return Peer{}, err
	}
	if err := checkHello(&peerHello); err != nil {
		// Send a hello without proof, so that the dialer can report the versions of both sides.
		_ = writeFrame(conn, ownHello, maxHelloBytes)
		return Peer{}, err
	}
	ownHello.Proof = id.proof("server", peerHello.GetNonce(), ownHello.Nonce)
	if err := writeFrame(conn, ownHello, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	var v Verdict
	if err := readFrame(conn, &v, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(v.GetProof(), id.proof("client", peerHello.GetNonce(), ownHello.Nonce)) {
		refusal := crcode.New(crcode.BadSecret, "the secret of %s differs", conn.RemoteAddr())
		_ = writeFrame(conn, &Verdict{Code: uint32(refusal.Code), Detail: "the secret differs"}, maxHelloBytes)
		return Peer{}, refusal
	}
	if err := writeFrame(conn, &Verdict{}, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	return peerFromHello(&peerHello), clearDeadline(conn)
}

func clearDeadline(conn net.Conn) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return crcode.New(crcode.ConnectionLost, "%v", err)
	}
	return nil
}
