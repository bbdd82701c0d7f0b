// Package fuzz fixes the seeds of stateful fuzzing, so that CI gives the same
// verdict every time. With PRIMROSE_FUZZ set, seeds are new in each run.
package fuzz

import (
	"flag"
	"os"
	"strconv"
)

// EnvExplore is the variable that frees the seeds; make fuzz sets it.
const EnvExplore = "PRIMROSE_FUZZ"

// Runner runs a package's tests; *testing.M is one.
type Runner interface{ Run() int }

// Main is a package's TestMain: it fixes seed, number and length of sequences
// and exits with the tests' code.
func Main(m Runner, checks, steps int) {
	flag.Parse()
	Fix(1, checks, steps)
	os.Exit(m.Run())
}

// Fix sets them for the tests that follow.
func Fix(seed, checks, steps int) {
	if os.Getenv(EnvExplore) != "" {
		return
	}
	for name, v := range map[string]int{"rapid.seed": seed, "rapid.checks": checks, "rapid.steps": steps} {
		_ = flag.Set(name, strconv.Itoa(v))
	}
}
