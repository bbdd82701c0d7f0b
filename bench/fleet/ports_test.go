package fleet

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Two test runs on one machine are given the same port: nobody listens there yet as the
// second one looks, and its daemon ends at its start.
func TestPortIsGivenToOneProcess(t *testing.T) {
	dir := t.TempDir()
	first, err := reserve(dir, lowPort)
	assert.NilError(t, err)
	assert.Assert(t, first != nil)
	second, err := reserve(dir, lowPort) // locks belong to open files, as of two processes
	assert.NilError(t, err)
	assert.Assert(t, second == nil)
	assert.NilError(t, first.Close())
	third, err := reserve(dir, lowPort)
	assert.NilError(t, err)
	assert.Assert(t, third != nil, "its process has ended")
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
