package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seeds are played in CI: two that are fixed, with the kinds of faults that there were
// first and with all, and each that ever failed, with its cause.
var seeds = []struct {
	seed  uint64
	kinds int // as many as there were when it was kept; 0: all
	cause string
}{
	{1, 14, "none"},
	{2, 14, "none"},
	{1, 0, "none"},
	{3, 0, "none"},
	{114, 14, "a daemon's port was taken by an outgoing connection while the daemon was down"},
	{114, 16, "a daemon was killed while another process took its place, which the harness read without its lock"},
}

// Callers are told what is not so, or are not served any more, after daemons, ways
// and stand-ins have failed in many ways at once.
func TestSeeds(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "primrosed")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "primroseward/cmd/primrosed").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, one := range seeds {
		t.Run(one.cause, func(t *testing.T) {
			t.Parallel()
			r, err := Run(Options{Binary: binary, Seed: one.seed, Kinds: one.kinds, Daemons: 3, Callers: 6, Length: 5 * time.Second, Slow: 2, Dir: t.TempDir()})
			assert.NilError(t, err)
			t.Logf("%d asked, %d served, %d refused, %d lost; calm: %d of %d", r.Asked, r.Served, r.Refused, r.Lost, r.CalmGood, r.InCalm)
			for _, line := range r.Wrong {
				t.Error(line)
			}
			if !t.Failed() {
				return
			}
			for _, line := range r.Events {
				t.Log(line)
			}
			for _, path := range r.Logs {
				t.Logf("%s:\n%s", path, tail(path))
			}
		})
	}
}

// tail is the end of a daemon's log.
func tail(path string) string {
	const most = 20000
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-most):])
}
