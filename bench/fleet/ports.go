package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

// Ports below those that the kernel gives to outgoing connections: one of these
// would be taken while the daemon that should listen there is down.
const (
	lowPort  = 12000
	highPort = 32000
	maxPorts = 1000 // tries
)

var errNoPort = errors.New("no free port")

// reserved are the ports that this process has been given. Their files stay open, and
// with them their locks, until it ends.
var reserved struct {
	mu    sync.Mutex
	files []*os.File
}

// FreePort returns an address on loopback that is free for TCP and UDP and that no
// process has been given by FreePort before and may still use. That nobody listens there
// is not enough: a daemon that has been given it may only be about to start, or down.
func FreePort() (string, error) {
	dir := filepath.Join(os.TempDir(), "primroseward-ports-"+strconv.Itoa(os.Getuid()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	for range maxPorts {
		port := lowPort + rand.IntN(highPort-lowPort)
		file, err := reserve(dir, port)
		if err != nil {
			return "", err
		}
		if file == nil {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if !free(addr) {
			_ = file.Close() // gives the port back
			continue
		}
		reserved.mu.Lock()
		reserved.files = append(reserved.files, file)
		reserved.mu.Unlock()
		return addr, nil
	}
	return "", errNoPort
}

// reserve locks the file of a port, which is nil if another one holds the lock.
func reserve(dir string, port int) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(dir, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, err
}

// free says whether nobody listens at an address.
func free(addr string) bool {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = udp.Close()
	return true
}
