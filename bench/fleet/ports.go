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

// minPort and maxPort bound the ports. They lie below those that the kernel gives to outgoing
// connections, as such a connection could take the port of a daemon while the daemon is down.
const (
	minPort  = 12000
	maxPort  = 32000
	maxTries = 1000 // ports tried before FreePort gives up
)

var errNoPort = errors.New("no free port")

// reserved holds the lock files of the ports that this process has been given. They stay open,
// and locked, until it exits.
var reserved struct {
	mu    sync.Mutex
	files []*os.File
}

// FreePort returns a loopback address that is free for TCP and UDP and is not reserved by a
// running process that called FreePort. A check that nobody listens there is not enough, as
// the daemon that the address was reserved for may be about to start, or down.
func FreePort() (string, error) {
	dir := filepath.Join(os.TempDir(), "primroseward-ports-"+strconv.Itoa(os.Getuid()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	for range maxTries {
		port := minPort + rand.IntN(maxPort-minPort)
		file, err := reserve(dir, port)
		if err != nil {
			return "", err
		}
		if file == nil {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if !isFree(addr) {
			_ = file.Close() // unlocks the port
			continue
		}
		reserved.mu.Lock()
		reserved.files = append(reserved.files, file)
		reserved.mu.Unlock()
		return addr, nil
	}
	return "", errNoPort
}

// reserve opens and locks the file of a port. The file is nil if its lock is held already.
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

// isFree reports whether an address is free for TCP and UDP.
func isFree(addr string) bool {
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
