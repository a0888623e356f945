package crwire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// nonceBytes is the length of the random value that each side adds to the proof of the secret.
const nonceBytes = 16

// Identity is what a process shows and demands in the handshake.
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

// proof shows knowledge of the secret for both nonces; side keeps one side's proof from being sent back as the other's.
func (id Identity) proof(side string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, id.Secret)
	mac.Write([]byte(side))
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}

func peerOf(h *Hello) Peer {
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

// dialHandshake runs the dialing side: hello, hello with proof, proof, verdict.
func (id Identity) dialHandshake(conn net.Conn) (Peer, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, crcode.New(crcode.ConnectionLost, "%v", err)
	}
	mine, err := id.hello()
	if err != nil {
		return Peer{}, err
	}
	if err := writeFrame(conn, mine, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	var theirs Hello
	if err := readFrame(conn, &theirs, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	if err := checkHello(&theirs); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(theirs.GetProof(), id.proof("server", mine.Nonce, theirs.GetNonce())) {
		return Peer{}, crcode.New(crcode.BadSecret, "the secret of %s differs", conn.RemoteAddr())
	}
	if err := writeFrame(conn, &Verdict{Proof: id.proof("client", mine.Nonce, theirs.GetNonce())}, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	var v Verdict
	if err := readFrame(conn, &v, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	if v.GetCode() != 0 {
		return Peer{}, crcode.New(crcode.Code(v.GetCode()), "%s", v.GetDetail())
	}
	return peerOf(&theirs), clearDeadline(conn)
}

// acceptHandshake runs the listening side; a refused dialer is told the code.
func (id Identity) acceptHandshake(conn net.Conn) (Peer, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, crcode.New(crcode.ConnectionLost, "%v", err)
	}
	var theirs Hello
	if err := readFrame(conn, &theirs, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	mine, err := id.hello()
	if err != nil {
		return Peer{}, err
	}
	if err := checkHello(&theirs); err != nil {
		// The answering hello carries this side's version, so that the dialer can name both.
		_ = writeFrame(conn, mine, maxHelloBytes)
		return Peer{}, err
	}
	mine.Proof = id.proof("server", theirs.GetNonce(), mine.Nonce)
	if err := writeFrame(conn, mine, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	var v Verdict
	if err := readFrame(conn, &v, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(v.GetProof(), id.proof("client", theirs.GetNonce(), mine.Nonce)) {
		refusal := crcode.New(crcode.BadSecret, "the secret of %s differs", conn.RemoteAddr())
		_ = writeFrame(conn, &Verdict{Code: uint32(refusal.Code), Detail: "the secret differs"}, maxHelloBytes)
		return Peer{}, refusal
	}
	if err := writeFrame(conn, &Verdict{}, maxHelloBytes); err != nil {
		return Peer{}, err
	}
	return peerOf(&theirs), clearDeadline(conn)
}

func clearDeadline(conn net.Conn) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return crcode.New(crcode.ConnectionLost, "%v", err)
	}
	return nil
}
