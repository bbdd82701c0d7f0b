package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const sampleInterval = 50 * time.Millisecond

// usage samples what a process holds.
type usage struct {
	pid         int
	stop        chan struct{}
	wg          sync.WaitGroup
	memory      int // most resident and unread bytes at one moment
	resident    int // most resident bytes
	descriptors int // most open ones
}

// watch samples the use of a daemon until the returned function is called, which checks it against the bounds.
func (d *daemon) watch() (check func(t *testing.T)) {
	u := &usage{pid: d.cmd.Process.Pid, stop: make(chan struct{})}
	u.wg.Add(1)
	go u.run()
	return func(t *testing.T) {
		t.Helper()
		close(u.stop)
		u.wg.Wait()
		t.Logf("at most %d MB, %d MB of it resident; %d descriptors", u.memory/1e6, u.resident/1e6, u.descriptors)
		assert.Check(t, d.alive(), "the process has ended")
		assert.Check(t, u.memory <= d.memory, "%d bytes resident and unread", u.memory)
		assert.Check(t, u.descriptors <= d.maxDescriptors, "%d descriptors", u.descriptors)
	}
}

func (u *usage) run() {
	defer u.wg.Done()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-u.stop:
			return
		case <-tick.C:
			resident := residentBytes(u.pid)
			sockets, open := socketsOf(u.pid)
			u.resident = max(u.resident, resident)
			u.memory = max(u.memory, resident+unreadBytes(sockets))
			u.descriptors = max(u.descriptors, open)
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// socketsOf returns the inodes of a process's sockets, and the number of its descriptors.
func socketsOf(pid int) (inodes map[string]bool, open int) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir) // fails only if the process has ended
	inodes = map[string]bool{}
	for _, e := range entries {
		if inode, ok := strings.CutPrefix(linkOf(dir+"/"+e.Name()), "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries)
}

func linkOf(path string) string {
	target, _ := os.Readlink(path) // fails only if the descriptor has been closed
	return target
}

// Columns of /proc/net/tcp.
const (
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	stateListen  = "0A"
)

// unreadBytes returns what sockets have received and their process has not read.
func unreadBytes(inodes map[string]bool) int {
	total := 0
	for _, path := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		data, _ := os.ReadFile(path)
		for line := range strings.Lines(string(data)) {
			f := strings.Fields(line)
			if len(f) <= columnInode || f[columnState] == stateListen || !inodes[f[columnInode]] {
				continue
			}
			_, received, _ := strings.Cut(f[columnQueues], ":")
			n, _ := strconv.ParseInt(received, 16, 64)
			total += int(n)
		}
	}
	return total
}
