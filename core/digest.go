package core

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"github.com/rotisserie/eris"
)

// digestSize is half the length of a SHA-256 sum, in bytes. This is long enough that
// nobody can construct a second request with the same digest.
const digestSize = 16

// Digest is a hash of a request's method, host, path with query, and body. When a caller
// sends a request again, its id differs, and so may the address, since one caller may run
// on many VMs; the digest stays the same. Equal requests of different callers share it.
type Digest [digestSize]byte

// DigestOf returns the digest of a request whose body has been read.
func DigestOf(q *Request) Digest {
	h := sha256.New()
	for _, part := range []string{q.Method, q.Host, q.Target} {
		h.Write([]byte(part))
		h.Write([]byte{0}) // separator: no part can contain a zero byte
	}
	h.Write(q.Body)
	return Digest(h.Sum(nil)[:digestSize])
}

// Part is a shared part of a prompt: one that other requests may have too.
type Part struct {
	ID     string
	Digest Digest // of the ID and the workspace
	// AtModel is the digest of the part in requests for one model: a part may crash the runners of a single one.
	AtModel Digest
}

// NewPart returns a part of a prompt of a workspace's caller. Equal parts of two workspaces have different
// digests, so that no caller can have another workspace's requests held.
func NewPart(workspace, id string) Part {
	// No request can have this digest, since "prompt part" is not a valid HTTP method.
	return Part{ID: id, Digest: DigestOf(&Request{Method: "prompt part", Host: workspace, Target: id})}
}

// For returns the part in requests for a model.
func (p Part) For(model string) Part {
	p.AtModel = p.Digest.AtModel(model)
	return p
}

// AtModel returns the digest of a part of a prompt in requests for a model.
func (d Digest) AtModel(model string) Digest {
	return DigestOf(&Request{Method: "prompt part at model", Host: model, Target: string(d[:])})
}

// Digests returns the digests under which the part may be on hold.
func (p Part) Digests() [2]Digest { return [2]Digest{p.Digest, p.AtModel} }

// CallerOf returns the IP address in a connection's remote address, the zero Addr if it has
// none.
func CallerOf(remote string) netip.Addr {
	addr, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{} // connections without IP addresses, as in tests
	}
	return addr.Addr().Unmap()
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText writes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads what MarshalText writes. Its error is ErrInvalid.
func (d *Digest) UnmarshalText(text []byte) error { return unmarshalHash(d[:], text, "digest") }

// unmarshalHash reads a hash in hexadecimal. name is used in the error, which is ErrInvalid.
func unmarshalHash(out, text []byte, name string) error {
	if len(text) != hex.EncodedLen(len(out)) {
		return eris.Wrapf(ErrInvalid, "%s: want %d hexadecimal digits, got %q", name, hex.EncodedLen(len(out)), text)
	}
	if _, err := hex.Decode(out, text); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %v", name, err)
	}
	return nil
}
