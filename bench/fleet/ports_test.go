package fleet

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two test runs on one machine getting the same port: nobody listens there yet
// when the second one checks, and its daemon exits at the start.
func TestPortIsGivenToOneProcess(t *testing.T) {
	dir := t.TempDir()
	first, err := reserve(dir, minPort)
	assert.NilError(t, err)
	assert.Assert(t, first != nil)
	second, err := reserve(dir, minPort) // locks belong to open files, so a second file acts as another process
	assert.NilError(t, err)
	assert.Assert(t, second == nil)
	assert.NilError(t, first.Close())
	third, err := reserve(dir, minPort)
	assert.NilError(t, err)
	assert.Assert(t, third != nil, "the lock was released")
	assert.NilError(t, third.Close())
}

func TestFreePortIsReserved(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	seen := map[string]bool{}
	for range 200 {
		addr, err := FreePort()
		assert.NilError(t, err)
		assert.Assert(t, !seen[addr], addr)
		seen[addr] = true
		_, text, err := net.SplitHostPort(addr)
		assert.NilError(t, err)
		port, err := strconv.Atoi(text)
		assert.NilError(t, err)
		again, err := reserve(filepath.Join(os.TempDir(), "primroseward-ports-"+strconv.Itoa(os.Getuid())), port)
		assert.NilError(t, err)
		assert.Assert(t, again == nil, "%s is not locked", addr)
	}
}
