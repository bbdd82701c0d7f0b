// Package paths forwards the connections of daemons, which are child processes of the test, to runners
// and partitions single daemons from them: only the connections of the processes that are
// partitioned are affected.
package paths

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"primroseward/io/tcp"
)

// Mode is what happens to the connections of a partitioned process.
type Mode int

// Modes of a partition.
const (
	Open         Mode = iota // not partitioned
	Hang                     // nothing is forwarded any more, in either direction
	HangToRunner             // nothing that the process sends arrives
	HangToDaemon             // nothing that the runners send arrives
	Reset                    // connections are reset, open ones and new ones
	RefuseNew                // new connections are reset, open ones live on
)

// Network holds the proxies of all runners.
type Network struct {
	mu      sync.Mutex
	modes   map[pathKey]Mode
	links   map[*link]bool
	proxies []net.Listener

	ownersMu sync.Mutex
	owners   map[string]int // processes by their sockets
	ownersAt time.Time
}

// pathKey is a process and the address of a runner, or no address for all runners.
type pathKey struct {
	pid    int
	target string
}

// link is one connection through a proxy.
type link struct {
	pid            int
	target         string
	caller, server *net.TCPConn
}

// New returns a Network without proxies.
func New() *Network {
	return &Network{modes: map[pathKey]Mode{}, links: map[*link]bool{}}
}

// Proxy starts a proxy to an address and returns the proxy's own one.
func (n *Network) Proxy(target string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.proxies = append(n.proxies, ln)
	n.mu.Unlock()
	go n.runAccept(ln, target)
	return ln.Addr().String(), nil
}

// CloseProxy closes a proxy, so that connections to its address are refused.
func (n *Network) CloseProxy(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ln := range n.proxies {
		if ln.Addr().String() == addr {
			_ = ln.Close()
		}
	}
}

// Close closes all proxies and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ln := range n.proxies {
		_ = ln.Close()
	}
	for l := range n.links {
		l.reset()
	}
}

// Partition sets what happens to the connections of a process to the given runners, or to
// all runners if none is given.
func (n *Network) Partition(pid int, mode Mode, targets ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(targets) == 0 {
		targets = []string{""}
	}
	for _, target := range targets {
		if mode == Open {
			delete(n.modes, pathKey{pid, target})
			continue
		}
		n.modes[pathKey{pid, target}] = mode
	}
	for l := range n.links {
		if l.pid == pid && n.modeOf(l) == Reset {
			l.reset()
		}
	}
}

// modeOf returns the mode of a connection; the caller holds n.mu.
func (n *Network) modeOf(l *link) Mode {
	if m := n.modes[pathKey{l.pid, ""}]; m != Open {
		return m
	}
	return n.modes[pathKey{l.pid, l.target}]
}

func (l *link) reset() {
	for _, c := range []*net.TCPConn{l.caller, l.server} {
		if c != nil {
			_ = c.SetLinger(0) // fails only on a closed connection
			_ = c.Close()
		}
	}
}

func (n *Network) runAccept(ln net.Listener, target string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go n.forward(c.(*net.TCPConn), target)
	}
}

// forward connects a daemon with a runner and copies both directions until both end.
func (n *Network) forward(caller *net.TCPConn, target string) {
	l := &link{target: target, caller: caller}
	mode := n.findOwner(l)
	server, err := net.Dial("tcp", target)
	if err == nil {
		l.server = server.(*net.TCPConn)
	}
	if err != nil || mode == Reset || mode == RefuseNew {
		l.reset()
		return
	}
	n.mu.Lock()
	n.links[l] = true
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { n.copyDirection(l, l.caller, l.server, HangToRunner) })
	wg.Go(func() { n.copyDirection(l, l.server, l.caller, HangToDaemon) })
	wg.Wait()
	n.mu.Lock()
	delete(n.links, l)
	n.mu.Unlock()
	_ = l.caller.Close()
	_ = l.server.Close()
}

// findOwner finds the process of a connection and returns what happens to the connection. It waits for the
// slow look-up only while any process is partitioned.
func (n *Network) findOwner(l *link) Mode {
	n.mu.Lock()
	wait := len(n.modes) > 0
	n.mu.Unlock()
	if !wait {
		go n.setOwner(l)
		return Open
	}
	return n.setOwner(l)
}

// setOwner finds the process of a connection, and resets the connection if the process is partitioned so.
func (n *Network) setOwner(l *link) Mode {
	pid := n.ownerOf(l.caller)
	n.mu.Lock()
	defer n.mu.Unlock()
	l.pid = pid
	mode := n.modeOf(l)
	if mode == Reset && n.links[l] {
		l.reset()
	}
	return mode
}

// copyDirection forwards one direction of a connection. What is discarded once is missing for
// good, so that the connection forwards nothing after it either, until it is closed.
func (n *Network) copyDirection(l *link, from, to *net.TCPConn, oneWay Mode) {
	var buf [16 << 10]byte
	lost := false
	for {
		k, err := from.Read(buf[:])
		n.mu.Lock()
		mode := n.modeOf(l)
		n.mu.Unlock()
		lost = lost || mode == Hang || mode == oneWay
		if lost && err == nil {
			continue
		}
		if k > 0 && !lost {
			if _, werr := to.Write(buf[:k]); werr != nil {
				if !errors.Is(werr, syscall.EPIPE) { // the other direction has read the end
					l.reset()
				}
				return
			}
		}
		switch {
		case err == nil:
			continue
		case lost:
		case err == io.EOF && !tcp.Reset(from): // the write of the other direction may have got the reset
			_ = to.CloseWrite()
		default:
			l.reset() // a reset must not arrive as a proper end
		}
		return
	}
}

// ownerOf returns the child process at the other end of a connection on loopback, 0 if none is found.
// All connections of a moment are looked up together.
func (n *Network) ownerOf(c net.Conn) int {
	accepted := time.Now()
	key := tableAddr(c.RemoteAddr()) + " " + tableAddr(c.LocalAddr())
	n.ownersMu.Lock()
	defer n.ownersMu.Unlock()
	if n.ownersAt.Before(accepted) {
		n.ownersAt = time.Now()
		n.owners = socketOwners()
	}
	return n.owners[key]
}

// socketOwners returns the child processes of this one by their TCP sockets, which are named by the
// local and the remote address.
func socketOwners() map[string]int {
	byInode := map[string]int{}
	for _, pid := range children() {
		links, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			continue // it has exited
		}
		for _, l := range links {
			to, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, l.Name()))
			if inode, ok := strings.CutPrefix(to, "socket:["); err == nil && ok {
				byInode[strings.TrimSuffix(inode, "]")] = pid
			}
		}
	}
	out := map[string]int{}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer file.Close()
	for in := bufio.NewScanner(file); in.Scan(); {
		if f := strings.Fields(in.Text()); len(f) > 9 && byInode[f[9]] != 0 {
			out[f[1]+" "+f[2]] = byInode[f[9]]
		}
	}
	return out
}

// children returns the child processes of this one.
func children() []int {
	lists, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil {
		return nil
	}
	var out []int
	for _, list := range lists {
		data, err := os.ReadFile(list)
		if err != nil {
			continue // the thread has ended
		}
		for _, text := range strings.Fields(string(data)) {
			if pid, err := strconv.Atoi(text); err == nil {
				out = append(out, pid)
			}
		}
	}
	return out
}

// tableAddr returns an address as /proc/net/tcp shows it.
func tableAddr(addr net.Addr) string {
	a := addr.(*net.TCPAddr)
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
