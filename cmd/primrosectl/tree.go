package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	service "primroseward/services/tree"
	"primroseward/state/tree"
	"primroseward/transport/admin"
)

// waitPoll is the interval at which the status is read while waiting.
const waitPoll = 250 * time.Millisecond

// treeFlags are the flags of the tree subcommands.
type treeFlags struct {
	path    string
	file    string
	note    string
	version int
	wait    time.Duration
	service string
	model   string
	place   string
}

func treeCommand() command {
	f := &treeFlags{version: -1}
	top := flaggy.NewSubcommand("tree")
	top.Description = "read and edit the settings tree"
	subs := []command{f.get(), f.set(), f.delete(), f.diff(), f.apply(), f.history(), f.explain()}
	for _, s := range subs {
		top.AttachSubcommand(s.Subcommand, 1)
	}
	return command{top, func(c *client) error {
		for _, s := range subs {
			if s.Used {
				return s.run(c)
			}
		}
		return fmt.Errorf("%w: tree get|set|delete|diff|apply|history|explain", errUsage)
	}}
}

// subcommand makes a subcommand, with a positional path if path is set.
func (f *treeFlags) subcommand(name, description string, path bool) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	if path {
		s.AddPositionalValue(&f.path, "path", 1, true, "such as /service/drafting/model/small")
	}
	return s
}

func (f *treeFlags) query() url.Values { return url.Values{"path": {f.path}} }

func (f *treeFlags) get() command {
	return command{f.subcommand("get", "print a node and its branch's version", true), func(c *client) error {
		var got service.NodeState
		if err := c.call(http.MethodGet, "/admin/tree", f.query(), nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got)
		}
		fmt.Printf("%s  branch %s  version %d\n", got.Path, got.Branch, got.Version)
		if got.Stale {
			fmt.Println("the platform does not answer; this is the node in force at the daemon")
		}
		return printJSON(got.Node)
	}}
}

// addEditFlags adds the flags that all edits share.
func (f *treeFlags) addEditFlags(s *flaggy.Subcommand) *flaggy.Subcommand {
	s.Int(&f.version, "", "from", "branch version that the edit is based on; the newest by default")
	s.String(&f.note, "", "note", "reason, for the history")
	s.Duration(&f.wait, "w", "wait", "wait until in force everywhere, at most this long")
	return s
}

func (f *treeFlags) set() command {
	s := f.addEditFlags(f.subcommand("set", "replace a node with the JSON in a file", true))
	s.String(&f.file, "f", "file", "file with the node; - for standard input")
	return command{s, func(c *client) error {
		node, err := readFile(f.file)
		if err != nil {
			return err
		}
		return f.edit(c, node)
	}}
}

func (f *treeFlags) delete() command {
	s := f.addEditFlags(f.subcommand("delete", "remove a node below a branch", true))
	return command{s, func(c *client) error { return f.edit(c, nil) }}
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) (json.RawMessage, error) {
	if name == "" {
		return nil, fmt.Errorf("%w: --file must be set", errUsage)
	}
	if name == "-" {
		name = "/dev/stdin"
	}
	return os.ReadFile(name)
}

// edit writes a node, or removes it if node is nil, and waits as --wait says.
func (f *treeFlags) edit(c *client, node json.RawMessage) error {
	version := uint64(max(0, f.version))
	if f.version < 0 {
		var err error
		if version, err = f.newestVersion(c); err != nil {
			return err
		}
	}
	var got service.NodeState
	body := admin.EditBody{Version: version, Node: node, Note: f.note}
	if node != nil && !json.Valid(node) {
		return fmt.Errorf("%w: the file is not JSON", errUsage)
	}
	if err := c.call(http.MethodPut, "/admin/tree", f.query(), body, &got); err != nil {
		return err
	}
	fmt.Printf("accepted: branch %s version %d\n", got.Branch, got.Version)
	return f.waitInForce(c)
}

// newestVersion returns the version of the path's branch, or 0 if there is none yet.
func (f *treeFlags) newestVersion(c *client) (uint64, error) {
	p, ok := tree.ParsePath(f.path)
	if !ok {
		return 0, fmt.Errorf("%w: path: want /service/NAME, /model/NAME or /place/NAME and so on", errUsage)
	}
	top := p[:min(len(p), 1)]
	var got service.NodeState
	err := c.call(http.MethodGet, "/admin/tree", url.Values{"path": {top.String()}}, nil, &got)
	if err != nil && exitCode(err) != exitNotFound {
		return 0, err
	}
	return got.Version, nil
}

// waitInForce polls until the accepted settings are in force everywhere, for at most the
// time of --wait.
func (f *treeFlags) waitInForce(c *client) error {
	if f.wait <= 0 {
		return nil
	}
	began := time.Now()
	for time.Since(began) < f.wait {
		var s service.Status
		if err := c.call(http.MethodGet, "/admin/status", nil, nil, &s); err != nil {
			return err
		}
		if s.InForce {
			fmt.Printf("in force at %d members after %s\n", len(s.Members), time.Since(began).Round(time.Millisecond))
			return nil
		}
		time.Sleep(waitPoll)
	}
	return errLagging
}

func (f *treeFlags) diff() command {
	s := f.subcommand("diff", "compare a node with the JSON in a file", true)
	s.String(&f.file, "f", "file", "file with the node; - for standard input")
	return command{s, func(c *client) error {
		data, err := readFile(f.file)
		if err != nil {
			return err
		}
		node, err := tree.ParseNode(data)
		if err != nil {
			return err
		}
		var got service.NodeState
		if err := c.call(http.MethodGet, "/admin/tree", f.query(), nil, &got); err != nil {
			return err
		}
		for _, line := range diffLines(got.Node, node) {
			fmt.Println(line)
		}
		return nil
	}}
}

// diffLines lists the values that differ, the stored ones with "-" and the file's with
// "+".
func diffLines(have, want any) []string {
	a, b := flatten(have), flatten(want)
	var out []string
	for key, v := range a {
		if b[key] != v {
			out = append(out, fmt.Sprintf("- %s = %s", key, v))
		}
	}
	for key, v := range b {
		if a[key] != v {
			out = append(out, fmt.Sprintf("+ %s = %s", key, v))
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i][2:] != out[j][2:] {
			return out[i][2:] < out[j][2:]
		}
		return out[i] > out[j]
	})
	return out
}

// flatten maps the path of each value in v's JSON encoding to the value's JSON.
func flatten(v any) map[string]string {
	data, _ := json.Marshal(v)
	var raw any
	_ = json.Unmarshal(data, &raw)
	out := map[string]string{}
	flattenInto(out, "", raw)
	return out
}

func flattenInto(out map[string]string, path string, raw any) {
	m, ok := raw.(map[string]any)
	if !ok {
		text, _ := json.Marshal(raw)
		out[path] = string(text)
		return
	}
	for key, v := range m {
		flattenInto(out, path+"."+key, v)
	}
}

func (f *treeFlags) apply() command {
	s := f.subcommand("apply", "write a whole tree from a file, branch by branch", false)
	s.String(&f.file, "f", "file", "file with the root node; - for standard input")
	s.Duration(&f.wait, "w", "wait", "wait until in force everywhere, at most this long")
	return command{s, func(c *client) error {
		data, err := readFile(f.file)
		if err != nil {
			return err
		}
		var got []service.NodeState
		if err := c.call(http.MethodPost, "/admin/tree", nil, json.RawMessage(data), &got); err != nil {
			return err
		}
		fmt.Printf("accepted: %d branches\n", len(got))
		return f.waitInForce(c)
	}}
}

func (f *treeFlags) history() command {
	return command{f.subcommand("history", "list the latest edits of a path's branch", true), func(c *client) error {
		var log []tree.Edit
		if err := c.call(http.MethodGet, "/admin/history", f.query(), nil, &log); err != nil {
			return err
		}
		if c.json {
			return printJSON(log)
		}
		var rows [][]string
		for _, e := range log {
			rows = append(rows, []string{e.At.Format(time.RFC3339), e.By, e.Path, e.Note})
		}
		table("AT\tBY\tPATH\tNOTE", rows)
		return nil
	}}
}

func (f *treeFlags) explain() command {
	s := f.subcommand("explain", "show the values in force and where they come from", false)
	s.String(&f.service, "s", "service", "service")
	s.String(&f.model, "m", "model", "model")
	s.String(&f.place, "p", "place", "place")
	return command{s, func(c *client) error {
		var got service.Explanation
		q := url.Values{"service": {f.service}, "model": {f.model}, "place": {f.place}}
		if err := c.call(http.MethodGet, "/admin/explain", q, nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got)
		}
		fmt.Printf("service %q  model %q  place %q  allowed %s\n", got.Service, got.Model, got.DataCentre, strconv.FormatBool(got.Allowed))
		var rows [][]string
		for field, v := range got.Values {
			from := got.Origin[field]
			if from == "" {
				from = "(default)"
			}
			rows = append(rows, []string{field, fmt.Sprint(v), from})
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
		table("FIELD\tVALUE\tFROM", rows)
		return nil
	}}
}
