package entry

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/core"
	"primroseward/state/directory"
	"primroseward/state/tree"
)

// Ask is one request of a caller.
type Ask struct {
	ID       string // request id, the caller's own or a new one
	Returns  bool   // the caller chose the id or a key and may come back
	Scope    string // of the caller; ids and keys of others do not meet it
	Key      string // idempotency key; empty: none
	Service  string
	Model    string // empty for plain services
	Class    core.Class
	Method   string
	Path     string // with query
	Header   http.Header
	Body     []byte
	Prefix   []byte // start of the prompt
	Stream   bool
	Repeat   bool
	Deadline time.Time
	Digest   core.Digest // of what it asks; its caller's next attempt has the same
}

// digest stands for what the request asks, whoever asks it.
func (a *Ask) digest() core.Digest {
	return core.DigestOf(&core.Request{Method: a.Method, Host: a.Service + "/" + a.Model, Target: a.Path, Body: a.Body})
}

// holdKey is the name under which the answer is held.
func (a *Ask) holdKey() string {
	if a.Key != "" {
		return HoldKey(a.Scope, "key:"+a.Key)
	}
	return HoldKey(a.Scope, a.ID)
}

// HoldKey joins a caller's scope and a request id.
func HoldKey(scope, id string) string { return scope + "/" + id }

// print tells whether a resend is the same request.
func (a *Ask) print() uint64 {
	d := xxhash.New()
	for _, part := range []string{a.Method, a.Path, a.Service, a.Model} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(a.Body)
	return d.Sum64()
}

func (a *Ask) dirKey() string {
	if a.Model != "" {
		return directory.ModelKey(a.Model)
	}
	return directory.ServiceKey(a.Service)
}

func (a *Ask) coord(place string) tree.Coord {
	return tree.Coord{Service: a.Service, Model: a.Model, Place: place}
}
