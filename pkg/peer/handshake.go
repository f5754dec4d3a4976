package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

const protocolVersion = 1 // both sides must have the same

const (
	nonceBytes = 16
	maxHello   = 1 << 10 // bytes of a frame of the handshake
)

// The labels differ by side, so that a proof can't be reflected to its sender.
const (
	labelDialer   = "dialer"
	labelListener = "listener"
)

// ErrHandshake reports a peer that speaks another protocol version or did not prove the shared
// secret.
type ErrHandshake struct {
	Reason string
}

// Error returns the reason.
func (e ErrHandshake) Error() string { return fmt.Sprintf("peer rejected: %s", e.Reason) }

func newNonce() string {
	raw := make([]byte, nonceBytes)
	_, _ = rand.Read(raw) // never returns an error
	return hex.EncodeToString(raw)
}

func proof(secret, label, mine, theirs string) string {
	m := hmac.New(sha256.New, []byte(secret))
	_, _ = fmt.Fprintf(m, "%s %s %s", label, mine, theirs)
	return hex.EncodeToString(m.Sum(nil))
}

func checkHello(h *schema.PeerHello) error {
	if h.Protocol != protocolVersion {
		return ErrHandshake{Reason: fmt.Sprintf("protocol %d, expected %d", h.Protocol, protocolVersion)}
	}
	if len(h.Nonce) != 2*nonceBytes {
		return ErrHandshake{Reason: "malformed nonce"}
	}
	return nil
}

func checkProof(secret, label, nonce, other, got string) error {
	if !hmac.Equal([]byte(got), []byte(proof(secret, label, nonce, other))) {
		return ErrHandshake{Reason: "invalid proof of the shared secret"}
	}
	return nil
}

// dialHandshake performs the dialing side of the handshake.
func dialHandshake(rw io.ReadWriter, secret string) (err error) {
	defer func() { err = errors.Wrap(err, "handshake") }()
	var hello schema.PeerHello
	if _, err := readFrame(rw, &hello, maxHello, freely); err != nil {
		return err
	}
	if err := checkHello(&hello); err != nil {
		return err
	}
	nonce := newNonce()
	answer := schema.PeerHello{Protocol: protocolVersion, Nonce: nonce, Proof: proof(secret, labelDialer, nonce, hello.Nonce)}
	if _, err := WriteFrame(rw, &answer); err != nil {
		return err
	}
	var last schema.PeerHello
	if _, err := readFrame(rw, &last, maxHello, freely); err != nil {
		return err
	}
	return checkProof(secret, labelListener, hello.Nonce, nonce, last.Proof)
}

// acceptHandshake performs the listening side of the handshake.
func acceptHandshake(rw io.ReadWriter, secret string) (err error) {
	defer func() { err = errors.Wrap(err, "handshake") }()
	nonce := newNonce()
	if _, err := WriteFrame(rw, &schema.PeerHello{Protocol: protocolVersion, Nonce: nonce}); err != nil {
		return err
	}
	var hello schema.PeerHello
	if _, err := readFrame(rw, &hello, maxHello, freely); err != nil {
		return err
	}
	if err := checkHello(&hello); err != nil {
		return err
	}
	if err := checkProof(secret, labelDialer, hello.Nonce, nonce, hello.Proof); err != nil {
		return err
	}
	last := schema.PeerHello{Protocol: protocolVersion, Nonce: nonce, Proof: proof(secret, labelListener, nonce, hello.Nonce)}
	_, err = WriteFrame(rw, &last)
	return err
}
