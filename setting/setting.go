// Package setting loads and checks a daemon's settings file.
package setting

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	"primroseward/core"
	"primroseward/io/strict"
)

// File is the settings file as written.
type File struct {
	Note     string   `json:"note,omitempty"` // for people
	Name     string   `json:"name"`           // unique among the daemons
	Place    string   `json:"place"`          // data centre
	Caller   string   `json:"caller"`         // IP:port for callers
	Peer     string   `json:"peer"`           // IP:port for other daemons, TCP and UDP
	Admin    string   `json:"admin"`          // IP:port for operators, metrics and health
	Platform string   `json:"platform"`       // IP:port of the object API
	Seeds    []string `json:"seeds"`          // peer addresses to join at
	Token    string   `json:"token"`          // operators' bearer token
	Log      Log      `json:"log"`
	Trace    Trace    `json:"trace"`
	Held     Held     `json:"held"`
	Limits   Limits   `json:"limits"`
	Fleet    *Fleet   `json:"fleet"` // set where callers are served through the platform
}

// Fleet is what a daemon needs where callers ask the system for addresses and
// runners register themselves in the platform's store.
type Fleet struct {
	Ready     string        `json:"ready"`     // IP:port of the readiness check
	Directory string        `json:"directory"` // IP:port that tells callers which addresses to use
	Keep      core.Duration `json:"keep"`      // how long callers may keep addresses
	Grace     core.Duration `json:"grace"`     // from the signal to stop until the process is killed
	Lease     core.Duration `json:"lease"`     // least time between the orders of two holders
	Ratio     float64       `json:"ratio"`     // of requests that may be sent once more, over all daemons
	Slack     float64       `json:"slack"`     // requests that may be sent once more beyond that, over all daemons
	Window    core.Duration `json:"window"`    // in which both are counted
	Quota     Quota         `json:"quota"`     // of workspaces
	Keys      Keys          `json:"keys"`      // of callers
}

// Keys is how long callers' keys are trusted that can't be confirmed.
type Keys struct {
	Closed  bool          `json:"closed"`  // callers are refused then
	Confirm core.Duration `json:"confirm"` // since the store was last known to have no newer configuration
}

// Quota is over which time workspaces' allowances are checked, and by how much more than
// these may be let in then, over all daemons.
type Quota struct {
	Window core.Duration `json:"window"` // 0: 8s
	Over   float64       `json:"over"`   // a share of rate and burst
	Slack  float64       `json:"slack"`  // units
}

// quotaWindow is a Quota's window where none is given.
const quotaWindow = 8 * time.Second

// Bounds returns the quota as the rule of allowances has it.
func (q Quota) Bounds() core.Window {
	w := core.Window{Length: time.Duration(q.Window), Over: q.Over, Slack: q.Slack}
	if w.Length == 0 {
		w.Length = quotaWindow
	}
	return w
}

// FleetAddrs are the checked addresses of a Fleet.
type FleetAddrs struct {
	Ready     netip.AddrPort
	Directory netip.AddrPort
}

// Log is the logging part.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// Trace is the tracing part.
type Trace struct {
	Endpoint string  `json:"endpoint"` // OTLP/HTTP URL; empty: no export
	Share    float64 `json:"share"`    // of requests traced, 0 to 1
}

// Held bounds the answers kept for callers that come back.
type Held struct {
	Bytes core.Bytes    `json:"bytes"`
	Life  core.Duration `json:"life"`
}

// Limits bounds what callers send and how the platform is called.
type Limits struct {
	Header   core.Bytes    `json:"header"`
	Body     core.Bytes    `json:"body"`
	Sender   core.Duration `json:"sender"`   // longest time for a request's body
	Platform float64       `json:"platform"` // calls per second
	Cores    float64       `json:"cores"`    // of a processor that the daemon may use; 0: not known
}

// Setting is a checked File.
type Setting struct {
	File
	CallerAddr   netip.AddrPort
	PeerAddr     netip.AddrPort
	AdminAddr    netip.AddrPort
	PlatformAddr netip.AddrPort
	SeedAddrs    []netip.AddrPort
	Level        zapcore.Level
	FleetAddrs   FleetAddrs
}

func defaults() File {
	return File{
		Log:    Log{Level: "info"},
		Trace:  Trace{Share: 1},
		Held:   Held{Bytes: 64e6, Life: core.Duration(5 * time.Minute)},
		Limits: Limits{Header: 64e3, Body: 32e6, Sender: core.Duration(30 * time.Second), Platform: 20},
	}
}

// Load reads a settings file and reports all of its faults at once.
func Load(path string) (*Setting, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings file")
	}
	return Parse(data)
}

// Parse checks the text of a settings file.
func Parse(data []byte) (*Setting, error) {
	s := &Setting{File: defaults()}
	if err := strict.Decode(data, &s.File); err != nil {
		return nil, err
	}
	c := &checker{}
	c.filled("name", s.Name)
	c.filled("place", s.Place)
	s.CallerAddr = c.addr("caller", s.Caller)
	s.PeerAddr = c.addr("peer", s.Peer)
	s.AdminAddr = c.addr("admin", s.Admin)
	s.PlatformAddr = c.addr("platform", s.Platform)
	for i, seed := range s.Seeds {
		s.SeedAddrs = append(s.SeedAddrs, c.addr(fmt.Sprintf("seeds[%d]", i), seed))
	}
	c.fleet(s)
	if s.Fleet == nil && s.Token == "" && s.AdminAddr.IsValid() && !s.AdminAddr.Addr().IsLoopback() {
		c.add("token", "must be set, or admin must be a loopback address")
	}
	c.level(s)
	c.ranges(s)
	if len(c.found) > 0 {
		return nil, c.found
	}
	return s, nil
}

type checker struct{ found strict.Problems }

func (c *checker) add(path, text string) {
	c.found = append(c.found, strict.Problem{Path: path, Text: text})
}

func (c *checker) filled(path, v string) {
	if v == "" {
		c.add(path, "must be set")
	}
}

func (c *checker) addr(path, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.add(path, fmt.Sprintf("want IP:port, got %q", v))
	}
	return a
}

func (c *checker) fleet(s *Setting) {
	f := s.Fleet
	if f == nil {
		return
	}
	s.FleetAddrs.Ready = c.addr("fleet.ready", f.Ready)
	s.FleetAddrs.Directory = c.addr("fleet.directory", f.Directory)
	for _, one := range []struct {
		path  string
		value core.Duration
	}{{"keep", f.Keep}, {"grace", f.Grace}, {"lease", f.Lease}, {"window", f.Window}} {
		if one.value <= 0 {
			c.add("fleet."+one.path, "must be above zero")
		}
	}
	if f.Quota.Window < 0 || f.Quota.Over < 0 || f.Quota.Slack < 0 {
		c.add("fleet.quota", "window, over and slack must not be below zero")
	}
	if f.Keys.Confirm < 0 || f.Keys.Closed && f.Keys.Confirm == 0 {
		c.add("fleet.keys.confirm", "must not be below zero, and above it where keys.closed is set")
	}
	if f.Ratio < 0 || f.Slack < 0 {
		c.add("fleet.ratio", "ratio and slack must not be below zero")
	}
}

func (c *checker) level(s *Setting) {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		c.add("log.level", fmt.Sprintf("want debug, info, warn or error, got %q", s.Log.Level))
	}
	s.Level = level
}

func (c *checker) ranges(s *Setting) {
	if s.Trace.Share < 0 || s.Trace.Share > 1 {
		c.add("trace.share", "must be from 0 to 1")
	}
	if u, err := url.Parse(s.Trace.Endpoint); s.Trace.Endpoint != "" && (err != nil || u.Host == "") {
		c.add("trace.endpoint", "want a URL")
	}
	if s.Held.Bytes <= 0 || s.Held.Life <= 0 {
		c.add("held", "bytes and life must be above zero")
	}
	if s.Limits.Header < 1e3 || s.Limits.Body <= 0 || s.Limits.Sender <= 0 || s.Limits.Platform <= 0 {
		c.add("limits", "header must be 1KB or more, the others above zero")
	}
	if s.Limits.Cores < 0 {
		c.add("limits.cores", "must not be below zero")
	}
}
