// Package fuzz fixes the seeds of stateful fuzzing, so that every CI run checks the same
// sequences. With PRIMROSE_FUZZ set, each run uses new seeds.
package fuzz

import (
	"flag"
	"os"
	"strconv"
)

// EnvRandomSeeds is the environment variable that leaves the seeds random; make fuzz
// sets it.
const EnvRandomSeeds = "PRIMROSE_FUZZ"

// Runner runs a package's tests; *testing.M implements it.
type Runner interface{ Run() int }

// Main implements a package's TestMain: it fixes the seed, number and length of sequences,
// runs the tests and exits with their exit code.
func Main(m Runner, checks, steps int) {
	flag.Parse()
	FixSeeds(1, checks, steps)
	os.Exit(m.Run())
}

// FixSeeds sets the seed, number and length of sequences for the tests that follow, unless
// the environment asks for random seeds.
func FixSeeds(seed, checks, steps int) {
	if os.Getenv(EnvRandomSeeds) != "" {
		return
	}
	for name, v := range map[string]int{"rapid.seed": seed, "rapid.checks": checks, "rapid.steps": steps} {
		_ = flag.Set(name, strconv.Itoa(v))
	}
}
