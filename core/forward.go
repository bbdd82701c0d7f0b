package core

import (
	"encoding/hex"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/rotisserie/eris"
)

// Forward is what a daemon states of a request that it passes on to another daemon, as it has no
// path to the runners itself. The other daemon sends the request to runners and counts it; it
// never passes the request on.
type Forward struct {
	From     string     // the daemon that took the request from its caller
	Runs     int        // sends so far that may have run
	Attempts int        // further sends that may run
	Counted  bool       // the retry budget has received its share for the request
	HasKey   bool       // the caller has shown a key
	Key      KeyID      // of the caller
	Caller   netip.Addr // address of the caller
	Origin   *Origin    // where the stream began that the request continues; nil: not known, or a new stream
}

// countedValue is the value of HeaderCounted; another one or none stands for false.
const countedValue = "1"

// forwardHeaders are the headers of a forwarded request that are not passed on to runners.
var forwardHeaders = []string{HeaderFrom, HeaderRuns, HeaderAttempts, HeaderCounted, HeaderKeyID, HeaderCaller}

// Write sets the headers of a forwarded request.
func (f *Forward) Write(h http.Header) {
	for _, name := range forwardHeaders {
		h.Del(name)
	}
	WriteOrigin(h, f.Origin)
	h.Set(HeaderFrom, f.From)
	h.Set(HeaderRuns, strconv.Itoa(f.Runs))
	h.Set(HeaderAttempts, strconv.Itoa(f.Attempts))
	if f.Counted {
		h.Set(HeaderCounted, countedValue)
	}
	if f.HasKey {
		h.Set(HeaderKeyID, hex.EncodeToString(f.Key[:]))
	}
	if f.Caller.IsValid() {
		h.Set(HeaderCaller, f.Caller.String())
	}
}

// ReadForward reads the headers of a forwarded request and removes them. Its error is ErrInvalid.
func ReadForward(h http.Header) (*Forward, error) {
	f := &Forward{From: h.Get(HeaderFrom)}
	var err error
	if f.From == "" {
		return nil, eris.Wrapf(ErrInvalid, "%s is missing", HeaderFrom)
	}
	if f.Runs, err = strconv.Atoi(h.Get(HeaderRuns)); err != nil || f.Runs < 0 {
		return nil, eris.Wrapf(ErrInvalid, "%s: want a number, got %q", HeaderRuns, h.Get(HeaderRuns))
	}
	if f.Attempts, err = strconv.Atoi(h.Get(HeaderAttempts)); err != nil || f.Attempts < 1 {
		return nil, eris.Wrapf(ErrInvalid, "%s: want a number above 0, got %q", HeaderAttempts, h.Get(HeaderAttempts))
	}
	f.Counted = h.Get(HeaderCounted) == countedValue
	if text := h.Get(HeaderKeyID); text != "" {
		n, err := hex.Decode(f.Key[:], []byte(text[:min(len(text), 2*len(f.Key))]))
		if err != nil || n != len(f.Key) || len(text) != 2*len(f.Key) {
			return nil, eris.Wrapf(ErrInvalid, "%s: want %d hexadecimal digits", HeaderKeyID, 2*len(f.Key))
		}
		f.HasKey = true
	}
	if text := h.Get(HeaderCaller); text != "" {
		if f.Caller, err = netip.ParseAddr(text); err != nil {
			return nil, eris.Wrapf(ErrInvalid, "%s: %v", HeaderCaller, err)
		}
	}
	f.Origin = ReadOrigin(h)
	for _, name := range forwardHeaders {
		h.Del(name)
	}
	return f, nil
}
