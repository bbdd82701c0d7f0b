package core

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"github.com/rotisserie/eris"
)

// digestSize is half of a SHA-256 sum, in bytes: nobody can make another request of the
// same digest.
const digestSize = 16

// Digest stands for what a request asks: its host, path with query, and body. A caller
// that sends a request again gives it another id, and may send it from another address,
// as one caller has many VMs; the digest is the same. Callers that ask the same share it.
type Digest [digestSize]byte

// DigestOf returns the digest of a request whose body has been read.
func DigestOf(q *Request) Digest {
	h := sha256.New()
	for _, part := range []string{q.Method, q.Host, q.Target} {
		h.Write([]byte(part))
		h.Write([]byte{0}) // none of the parts can hold one
	}
	h.Write(q.Body)
	return Digest(h.Sum(nil)[:digestSize])
}

// CallerOf returns the address of a connection's other end; the zero Addr if it has none.
func CallerOf(remote string) netip.Addr {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{} // a listener without IP addresses, as in tests
	}
	return addr.Addr().Unmap()
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText writes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads what MarshalText writes. Its error is ErrInvalid.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != digestSize {
		return eris.Wrapf(ErrInvalid, "digest: want %d hexadecimal digits, got %q", 2*digestSize, text)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return eris.Wrapf(ErrInvalid, "digest: %v", err)
	}
	return nil
}
