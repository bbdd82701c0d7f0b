package core

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Origin is where a stream began: what two software versions of a service write does not fit
// together, so a stream goes on only at runners of its origin.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"` // of the runners' software; empty if they do not give one
}

// streamKeySize is half the length of a SHA-256 sum, in bytes. This is long enough that no caller
// can construct the key of another workspace's stream.
const streamKeySize = 16

// StreamKey identifies a stream: a hash of the caller's workspace and of the id of the attempt that
// brought the stream's first event.
type StreamKey [streamKeySize]byte

// StreamKeyOf returns the key of a stream. workspace is nil if callers need no key.
func StreamKeyOf(workspace *Workspace, attempt string) StreamKey {
	h := sha256.New()
	if workspace != nil {
		h.Write([]byte(workspace.Name))
	}
	h.Write([]byte{0}) // separator: no name can contain a zero byte
	h.Write([]byte(attempt))
	return StreamKey(h.Sum(nil)[:streamKeySize])
}

// String returns the key in hexadecimal.
func (k StreamKey) String() string { return hex.EncodeToString(k[:]) }

// MarshalText writes the key in hexadecimal.
func (k StreamKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads what MarshalText writes. Its error is ErrInvalid.
func (k *StreamKey) UnmarshalText(text []byte) error { return unmarshalHash(k[:], text, "stream key") }

// Errors of Origins.Find.
var (
	// ErrOriginUnknown: no daemon knows where the stream began, and none will.
	ErrOriginUnknown = errors.New("the origin of the stream is not known")
	// ErrOriginUnanswered: daemons that may know it, or the store, did not answer.
	ErrOriginUnanswered = errors.New("the origin of the stream could not be found out")
)

// Origins knows at which versions streams begin, also those of other daemons.
type Origins interface {
	// Admitted reports whether streams may begin at a version. Admit does so too, and has the
	// version admitted if it is not; it waits for the store.
	Admitted(o Origin) bool
	Admit(ctx context.Context, o Origin) bool
	// Begin records where a stream has begun. It is called before the first event is passed on,
	// and done when the stream has ended.
	Begin(k StreamKey, workspace *Workspace, o Origin) (done func())
	// Find returns where a stream began. k is nil if the caller does not name the stream; service
	// is that of the request.
	Find(ctx context.Context, k *StreamKey, service string) (FoundOrigin, error)
}

// FoundOrigin is the origin of a stream, and how it is known.
type FoundOrigin struct {
	Origin
	Source string        // OriginOwn, OriginStore or the name of another daemon
	Age    time.Duration // of the record; 0 from the store
}

// Sources of an origin besides other daemons.
const (
	OriginOwn   = "own record"
	OriginStore = "store"
)

// Headers in which a daemon states the origin of a stream, in a forwarded request and in the answer
// to it.
const (
	HeaderOriginService = "Primrose-Origin-Service"
	HeaderOriginVersion = "Primrose-Origin-Version"
)

// originHeaders are the headers of an origin.
var originHeaders = []string{HeaderOriginService, HeaderOriginVersion}

// WriteOrigin sets the headers of an origin; nil: it is not known.
func WriteOrigin(h http.Header, o *Origin) {
	for _, name := range originHeaders {
		h.Del(name)
	}
	if o != nil {
		h.Set(HeaderOriginService, o.Service)
		h.Set(HeaderOriginVersion, o.Version)
	}
}

// ReadOrigin reads the headers of an origin and removes them. It returns nil if they are absent, as from
// a daemon of an earlier release.
func ReadOrigin(h http.Header) *Origin {
	if h.Get(HeaderOriginService) == "" {
		return nil
	}
	o := &Origin{Service: h.Get(HeaderOriginService), Version: h.Get(HeaderOriginVersion)}
	WriteOrigin(h, nil)
	return o
}

// maxAttemptID bounds the id of an attempt that a caller names, in bytes.
const maxAttemptID = 256

// ReadResumes reads the values of the header in which a caller names the attempt that began the stream
// that it takes up after an event. Its error is ErrInvalid.
func ReadResumes(values []string, lastEvent string) (string, error) {
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", eris.Wrapf(ErrInvalid, "%s: want one value, got %d", HeaderResumes, len(values))
	case values[0] == "" || len(values[0]) > maxAttemptID:
		return "", eris.Wrapf(ErrInvalid, "%s: want the id of an attempt of at most %d bytes, got %d", HeaderResumes, maxAttemptID, len(values[0]))
	case lastEvent == "":
		return "", eris.Wrapf(ErrInvalid, "%s: needs a last event", HeaderResumes)
	}
	return values[0], nil
}
