// Package setting loads and checks a daemon's settings file.
package setting

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap/zapcore"

	"primroseward/core"
	"primroseward/io/strict"
	"primroseward/transport/intake"
)

// File is the content of the settings file.
type File struct {
	Note       string      `json:"note,omitempty"` // comment for operators
	Name       string      `json:"name"`           // unique among the daemons
	DataCentre string      `json:"place"`          // data centre
	Caller     string      `json:"caller"`         // IP:port for callers
	Peer       string      `json:"peer"`           // IP:port for other daemons, TCP and UDP
	Admin      string      `json:"admin"`          // IP:port for operators, metrics and health
	Platform   string      `json:"platform"`       // IP:port of the platform's object API
	Seeds      []string    `json:"seeds"`          // peer addresses by which to join the other daemons
	Token      string      `json:"token"`          // bearer token of operators
	Log        Log         `json:"log"`
	Trace      Trace       `json:"trace"`
	Held       HeldAnswers `json:"held"`
	Limits     Limits      `json:"limits"`
	Fleet      *Fleet      `json:"fleet"` // set if the daemon serves callers through the platform
}

// Fleet holds the settings of a daemon where callers get their addresses from the system
// and runners register themselves in the platform's store.
type Fleet struct {
	Ready       string        `json:"ready"`     // IP:port of the readiness check
	Directory   string        `json:"directory"` // IP:port from which callers get the addresses to use
	AddressTTL  core.Duration `json:"keep"`      // how long callers may use these addresses
	Grace       core.Duration `json:"grace"`     // time from the stop signal until the process is killed
	Lease       core.Duration `json:"lease"`     // minimum time between the orders of two holders
	RetryRatio  float64       `json:"ratio"`     // retry budget as a share of requests, over all daemons
	RetrySlack  float64       `json:"slack"`     // retries allowed in addition, over all daemons
	RetryWindow core.Duration `json:"window"`    // time over which both are counted
	Quota       Quota         `json:"quota"`     // of workspaces' allowances
	Keys        Keys          `json:"keys"`      // of callers
	Balance     core.Balance  `json:"balance"`   // by counts of the whole fleet: auto, on or off; empty means auto
}

// Keys says how long callers' keys are accepted while they cannot be confirmed.
type Keys struct {
	FailClosed     bool          `json:"closed"`  // callers are refused after that time
	MaxUnconfirmed core.Duration `json:"confirm"` // time since the store was last confirmed to have no newer configuration
}

// Quota says over which time window workspaces' allowances are checked, and by how much
// all daemons together may exceed them in it.
type Quota struct {
	Window core.Duration `json:"window"` // 0 means 8s
	Over   float64       `json:"over"`   // excess as a share of rate and burst
	Slack  float64       `json:"slack"`  // excess in units
}

// defaultQuotaWindow is the window of a Quota that sets none.
const defaultQuotaWindow = 8 * time.Second

// Bounds converts the quota to the form that the enforcement of allowances uses.
func (q Quota) Bounds() core.AllowanceWindow {
	w := core.AllowanceWindow{Length: time.Duration(q.Window), Over: q.Over, Slack: q.Slack}
	if w.Length == 0 {
		w.Length = defaultQuotaWindow
	}
	return w
}

// FleetAddrs holds the parsed addresses of a Fleet.
type FleetAddrs struct {
	Ready     netip.AddrPort
	Directory netip.AddrPort
}

// Log holds the logging settings.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// Trace holds the tracing settings.
type Trace struct {
	Endpoint string  `json:"endpoint"` // OTLP/HTTP URL; empty disables the export
	Share    float64 `json:"share"`    // share of requests that are traced, 0 to 1
}

// HeldAnswers bounds the finished answers that are kept for callers that reconnect.
type HeldAnswers struct {
	Bytes core.Bytes    `json:"bytes"` // total size
	TTL   core.Duration `json:"life"`  // how long an answer is kept
}

// Limits bounds what callers send and how often the platform is called, and declares how
// much of a processor the daemon may use.
type Limits struct {
	Header       core.Bytes    `json:"header"`   // size of the request header
	Body         core.Bytes    `json:"body"`     // size of the request body
	BodyTimeout  core.Duration `json:"sender"`   // longest time in which a request body must arrive
	PlatformRate float64       `json:"platform"` // calls of the platform per second
	MaxBackoff   core.Duration `json:"backoff"`  // longest time without requests that an endpoint may ask for; 0 means none
	Memory       core.Bytes    `json:"memory"`   // memory that the daemon may use; 0 means unknown
	Cores        float64       `json:"cores"`    // processor cores that the daemon may use; 0 means unknown

	AnswerTimeout core.Duration `json:"reader"`      // longest time in which a client reads nothing of its answer
	Descriptors   int           `json:"descriptors"` // open descriptors of the daemon; 0: as the system limits them
	Connections   int           `json:"connections"` // open connections of callers; 0: derived from descriptors and memory
	Unread        core.Bytes    `json:"unread"`      // receive buffer of a connection; 0: derived from memory and connections
}

// The shares of a daemon's memory. docs/design/0027-clients.md adds them up.
const (
	// requestShare is for the heads and bodies of the requests in progress.
	requestShare = 0.25
	// connectionShare is for connections, of which each takes connectionBytes.
	connectionShare = 0.3
	connectionBytes = 40 << 10
	// unreadShare is for what clients have sent and the daemon has not read.
	unreadShare = 0.06
	// heldShare is for finished answers that are kept for callers that come back (native interface).
	heldShare = 0.1
	// answerShare is for the beginnings of answers that are held until they are complete.
	answerShare = 0.1
	// heapShare, without programBytes for the program itself, is the limit from which on the runtime collects garbage
	// more often.
	heapShare    = 0.8
	programBytes = 16e6
	// minHeapShare is the least of that.
	minHeapShare = 0.5
)

const (
	// defaultRequests is the memory for requests in bytes where that of the daemon is not known.
	defaultRequests = 64e6
	// defaultHeld is the size of the answers that are kept if the settings state none, in bytes, where heldShare allows
	// as much.
	defaultHeld = 64e6
	// callerShare is the part of the descriptors for callers' connections. About half as many are for those of other
	// clients; the rest is for runners, the store and other daemons.
	callerShare = 0.5
	// minUnread and maxUnread bound the receive buffer of a connection, in bytes.
	minUnread = 8 << 10
	// runnerUnread is the least receive buffer of a connection with a runner, in bytes.
	runnerUnread = 16 << 10
	maxUnread    = 64 << 10
)

// Intake returns the bounds on what clients hold.
func (l *Limits) Intake() intake.Limits {
	memory := float64(l.Memory)
	out := intake.Limits{
		Memory: defaultRequests, Connections: l.Connections, Unread: int(l.Unread),
		Sender: time.Duration(l.BodyTimeout), Reader: time.Duration(l.AnswerTimeout),
	}
	if out.Connections == 0 {
		out.Connections = int(callerShare * float64(l.descriptors()))
		if memory > 0 {
			out.Connections = min(out.Connections, int(connectionShare*memory/connectionBytes))
		}
	}
	if memory > 0 {
		out.Memory = int64(requestShare * memory)
		if out.Unread == 0 && out.Connections > 0 {
			out.Unread = min(maxUnread, max(minUnread, int(unreadShare*memory)/out.Connections))
		}
	}
	return out
}

// AnswerMemory returns the memory for answers that are held until they are complete, in bytes.
func (l *Limits) AnswerMemory() int64 {
	if l.Memory == 0 {
		return defaultRequests
	}
	return int64(answerShare * float64(l.Memory))
}

// RunnerUnread returns the receive buffer of a connection with a runner in bytes; 0: as the system sets it.
func (l *Limits) RunnerUnread() int {
	if l.Memory == 0 {
		return 0
	}
	return max(runnerUnread, l.Intake().Unread)
}

// descriptors returns how many descriptors the daemon may open.
func (l *Limits) descriptors() int {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return 0
	}
	return int(min(r.Cur, maxDescriptors))
}

// maxDescriptors bounds the system's limit, which may be without bound.
const maxDescriptors = 1 << 20

// SetMemoryLimit has the runtime stay within the daemon's memory, if it is known.
func (l *Limits) SetMemoryLimit() {
	if memory := float64(l.Memory); memory > 0 {
		debug.SetMemoryLimit(int64(max(minHeapShare*memory, heapShare*memory-programBytes)))
	}
}

// minDescriptors is the least number of descriptors that a daemon works with.
const minDescriptors = 128

// Setting is a validated File with its parsed addresses and log level.
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
		Held:   HeldAnswers{Bytes: defaultHeld, TTL: core.Duration(5 * time.Minute)},
		Limits: Limits{Header: 64e3, Body: 32e6, BodyTimeout: core.Duration(30 * time.Second), AnswerTimeout: core.Duration(30 * time.Second), PlatformRate: 20, MaxBackoff: core.Duration(core.DefaultMaxBackoff)},
	}
}

// Load reads and validates a settings file. Its error lists all faults of the file.
func Load(path string) (*Setting, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings file")
	}
	return Parse(data)
}

// Parse validates the content of a settings file. Its error lists all faults.
func Parse(data []byte) (*Setting, error) {
	s := &Setting{File: defaults()}
	if err := strict.Decode(data, &s.File); err != nil {
		return nil, err
	}
	if s.Held.Bytes == defaultHeld && s.Limits.Memory > 0 {
		s.Held.Bytes = min(defaultHeld, core.Bytes(heldShare*float64(s.Limits.Memory)))
	}
	c := &checker{}
	c.required("name", s.Name)
	c.required("place", s.DataCentre)
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

// checker collects the faults of a settings file.
type checker struct{ found strict.Problems }

func (c *checker) add(path, text string) {
	c.found = append(c.found, strict.Problem{Path: path, Text: text})
}

func (c *checker) required(path, v string) {
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
	for _, field := range []struct {
		path  string
		value core.Duration
	}{{"keep", f.AddressTTL}, {"grace", f.Grace}, {"lease", f.Lease}, {"window", f.RetryWindow}} {
		if field.value <= 0 {
			c.add("fleet."+field.path, "must be above zero")
		}
	}
	if f.Quota.Window < 0 || f.Quota.Over < 0 || f.Quota.Slack < 0 {
		c.add("fleet.quota", "window, over and slack must not be below zero")
	}
	if f.Keys.MaxUnconfirmed < 0 || f.Keys.FailClosed && f.Keys.MaxUnconfirmed == 0 {
		c.add("fleet.keys.confirm", "must not be below zero, and above it where keys.closed is set")
	}
	if !f.Balance.Valid() {
		c.add("fleet.balance", fmt.Sprintf("want auto, on or off, got %q", f.Balance))
	}
	if f.RetryRatio < 0 || f.RetrySlack < 0 {
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
	if s.Held.Bytes <= 0 || s.Held.TTL <= 0 {
		c.add("held", "bytes and life must be above zero")
	}
	if s.Limits.Header < 1e3 || s.Limits.Body <= 0 || s.Limits.BodyTimeout <= 0 || s.Limits.PlatformRate <= 0 {
		c.add("limits", "header must be 1KB or more, the others above zero")
	}
	if s.Limits.AnswerTimeout <= 0 {
		c.add("limits.reader", "must be above zero")
	}
	if s.Limits.Descriptors < 0 || s.Limits.Descriptors > 0 && s.Limits.Descriptors < minDescriptors {
		c.add("limits.descriptors", fmt.Sprintf("must be %d or more, or 0", minDescriptors))
	}
	if s.Limits.Connections < 0 || s.Limits.Descriptors > 0 && s.Limits.Connections >= s.Limits.Descriptors {
		c.add("limits.connections", "must not be below zero, and below descriptors")
	}
	if s.Limits.Unread != 0 && s.Limits.Unread < minUnread/2 {
		c.add("limits.unread", fmt.Sprintf("must be %dB or more, or 0B", minUnread/2))
	}
	if s.Limits.Cores < 0 {
		c.add("limits.cores", "must not be below zero")
	}
}
