package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validEntry = "./proof TestA/b | go test -run TestA ./proof | - | lost | issue 1"

func TestReadList(t *testing.T) {
	got, err := readList(strings.NewReader("# comment\n\n" + validEntry + "\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []entry{{Package: "./proof", Test: "TestA/b", Command: "go test -run TestA ./proof", Seed: "-", Seen: "lost", Issue: "issue 1"}})
	assert.Equal(t, got[0].pattern(), "^TestA$/^b$")
	for _, line := range []string{
		"./proof TestA", "./proof TestA | c | - | lost", "./proof TestA | | - | lost | 1",
		"proof TestA | c | - | lost | 1", "./proof A | c | - | lost | 1", "./proof TestA TestB | c | - | lost | 1",
	} {
		_, err := readList(strings.NewReader(line))
		assert.Assert(t, errors.Is(err, errEntry), line)
	}
}

// Guards against a listed test that hides another problem: a failure of a test with the same
// name in another package, a listed test that was renamed or passes by now, a package that does
// not build.
func TestKnownFailuresHideNoOthers(t *testing.T) {
	if testing.Short() {
		t.Skip("runs the go command")
	}
	for _, tt := range []struct {
		name, list, file string
		ok               bool
	}{
		{"nothing listed, all pass", "", "func TestA(t *testing.T) {}", true},
		{"nothing listed, one fails", "", "func TestA(t *testing.T) { t.Fail() }", false},
		{"listed and fails", "./a TestA", "func TestA(t *testing.T) { t.Fail() }", true},
		{"listed and passes", "./a TestA", "func TestA(t *testing.T) {}", false},
		{"listed and skipped", "./a TestA", "func TestA(t *testing.T) { t.Skip() }", false},
		{"listed, no such test", "./a TestB", "func TestA(t *testing.T) {}", false},
		{"listed, no such package", "./b TestA", "func TestA(t *testing.T) {}", false},
		{"only a prefix of the name is listed", "./a Test", "func TestA(t *testing.T) { t.Fail() }", false},
		{"another test fails too", "./a TestA", "func TestA(t *testing.T) { t.Fail() }\nfunc TestB(t *testing.T) { t.Fail() }", false},
		{"a subtest", "./a TestA/one", "func TestA(t *testing.T) { t.Run(\"one\", func(t *testing.T) { t.Fail() }); t.Run(\"two\", func(*testing.T) {}) }", true},
		{"another subtest fails too", "./a TestA/one", "func TestA(t *testing.T) { for _, n := range []string{\"one\", \"two\"} { t.Run(n, func(t *testing.T) { t.Fail() }) } }", false},
		{"does not build", "./a TestA", "func TestA(t *testing.T) { none() }", false},
		{"the same name elsewhere", "./c TestA", "func TestA(t *testing.T) { t.Fail() }", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			write(t, dir, "go.mod", "module m\n\ngo 1.26\n")
			write(t, dir, "a/a_test.go", "package a\n\nimport \"testing\"\n\n"+tt.file+"\n")
			write(t, dir, "c/c_test.go", "package c\n\nimport \"testing\"\n\nfunc TestA(t *testing.T) { "+map[bool]string{true: "t.Fail()"}[strings.HasPrefix(tt.list, "./c")]+" }\n")
			if tt.list != "" {
				write(t, dir, listFile, tt.list+" | c | - | seen | issue 1\n")
			}
			var out strings.Builder
			r := &runner{out: &out, run: func(out io.Writer, args ...string) (string, error) {
				return goCommand(out, append([]string{"-C", dir}, args...)...)
			}}
			err := r.runAll(filepath.Join(dir, listFile), nil)
			assert.Equal(t, err == nil, tt.ok, out.String())
			assert.Equal(t, strings.Contains(out.String(), "KNOWN RED"), tt.list != "", out.String())
			_, end, _ := strings.Cut(out.String(), "KNOWN RED")
			assert.Equal(t, strings.Contains(end, "\n--- FAIL: TestB"), tt.name == "another test fails too", out.String())
		})
	}
}

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	path := filepath.Join(dir, name)
	assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

// Guards against tests that run without the race detector and are left out, or take other tests with them.
func TestTestsWithoutTheRaceDetector(t *testing.T) {
	for _, tt := range []struct {
		name  string
		flags []string
		want  []string
	}{
		{"with the race detector", []string{"-race"}, []string{
			"list ./a", "list ./...", "test -count=1 -timeout 30m -race b", "test -count=1 -timeout 30m -race -skip ^TestA$ ./a", "test -count=1 -timeout 30m -run ^TestA$ ./a",
		}},
		{"without it", nil, []string{"test -count=1 -timeout 30m ./..."}},
	} {
		var got []string
		r := &runner{out: io.Discard, withoutRace: []entry{{Package: "./a", Test: "TestA"}}, run: func(_ io.Writer, args ...string) (string, error) {
			got = append(got, strings.Join(args, " "))
			return map[string]string{"list ./a": "a", "list ./...": "a b"}[got[len(got)-1]], nil
		}}
		assert.Equal(t, len(r.runUnlisted(nil, tt.flags)), 0, tt.name)
		assert.DeepEqual(t, got, tt.want)
	}
}

// Guards against tests that check what a process holds, and run beside others or not at all.
func TestPackagesThatRunApart(t *testing.T) {
	for _, tt := range []struct {
		name   string
		listed []entry
		want   []string
	}{
		{"nothing listed", nil, []string{"list ./b", "list ./...", "test -count=1 -timeout 30m a", "test -count=1 -timeout 30m ./b"}},
		{"a test of it is listed", []entry{{Package: "./b", Test: "TestB"}}, []string{"list ./b", "list ./...", "test -count=1 -timeout 30m a", "test -count=1 -timeout 30m -skip ^TestB$ ./b"}},
	} {
		var got []string
		r := &runner{out: io.Discard, apart: []string{"./b"}, run: func(_ io.Writer, args ...string) (string, error) {
			got = append(got, strings.Join(args, " "))
			return map[string]string{"list ./b": "b", "list ./...": "a b"}[got[len(got)-1]], nil
		}}
		assert.Equal(t, len(r.runUnlisted(tt.listed, nil)), 0, tt.name)
		assert.DeepEqual(t, got, tt.want)
	}
}
