package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"primroseward/core"
	service "primroseward/services/tree"
	"primroseward/state/tree"
)

func runnersCommand() command {
	f := &treeFlags{version: -1}
	var name string
	s := flaggy.NewSubcommand("runners")
	s.Description = "show each runner's memory and work"
	drain := flaggy.NewSubcommand("drain")
	drain.Description = "give a runner no new work and move its models away"
	resume := flaggy.NewSubcommand("resume")
	resume.Description = "give a drained runner work again"
	for _, sub := range []*flaggy.Subcommand{drain, resume} {
		sub.AddPositionalValue(&name, "name", 1, true, "the runner")
		s.AttachSubcommand(f.edits(sub), 1)
	}
	return command{s, func(c *client) error {
		if drain.Used || resume.Used {
			return f.setDrain(c, name, drain.Used)
		}
		var got []service.RunnerStatus
		if err := c.call(http.MethodGet, "/admin/runners", nil, nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got)
		}
		printRunners(got)
		return nil
	}}
}

func printRunners(runners []service.RunnerStatus) {
	var rows [][]string
	for _, r := range runners {
		var models []string
		for _, m := range r.Models {
			models = append(models, fmt.Sprintf("%s@%s(%s)", m.Model, m.Version, m.State))
		}
		state := "ok"
		switch {
		case r.Unreachable:
			state = "unreachable"
		case r.Leaving:
			state = "leaving"
		}
		rows = append(rows, []string{
			r.Runner, r.Place, r.Owner, state, size(r.Capacity), size(r.Committed), size(r.Reserved), size(r.Quarantined), size(r.Free),
			fmt.Sprintf("%d+%d/%d", r.Running, r.Queued, r.Slots), strings.Join(models, " "),
		})
	}
	table("RUNNER\tPLACE\tOWNER\tSTATE\tMEMORY\tCOMMITTED\tRESERVED\tQUARANTINED\tFREE\tWORK\tMODELS", rows)
}

func size(n int64) string { return strconv.FormatFloat(float64(n)/1e9, 'f', 1, 64) + "GB" }

// setDrain edits the endpoint's entry where the tree has it.
func (f *treeFlags) setDrain(c *client, runner string, drain bool) error {
	var s service.Status
	if err := c.call(http.MethodGet, "/admin/status", nil, nil, &s); err != nil {
		return err
	}
	for _, b := range s.Branches {
		path := "/" + strings.Trim(b.Branch, "/")
		var got service.Got
		if err := c.call(http.MethodGet, "/admin/tree", url.Values{"path": {path}}, nil, &got); err != nil {
			return err
		}
		e, ok := got.Node.Endpoints[runner]
		if !ok {
			continue
		}
		e.Drain = drain
		got.Node.Endpoints[runner] = e
		f.noteIf(drain, "drain "+runner, "resume "+runner)
		return f.put(c, got)
	}
	return &failure{status: http.StatusNotFound, Problem: adminProblem(fmt.Sprintf("runner %q is at no branch's top node", runner))}
}

// noteIf sets the edit's note, unless the operator gave one.
func (f *treeFlags) noteIf(first bool, one, other string) {
	switch {
	case f.note != "":
	case first:
		f.note = one
	default:
		f.note = other
	}
}

func (f *treeFlags) put(c *client, got service.Got) error {
	node, err := json.Marshal(got.Node)
	if err != nil {
		return err
	}
	f.path = got.Path
	f.version = int(got.Version)
	return f.edit(c, node)
}

func movesCommand() command {
	f := &treeFlags{version: -1}
	s := flaggy.NewSubcommand("moves")
	s.Description = "show loads and evictions under way"
	pause := flaggy.NewSubcommand("pause")
	pause.Description = "make only the moves that keep models reachable"
	resume := flaggy.NewSubcommand("resume")
	resume.Description = "make all moves again"
	s.AttachSubcommand(f.edits(pause), 1)
	s.AttachSubcommand(f.edits(resume), 1)
	return command{s, func(c *client) error {
		if pause.Used || resume.Used {
			return f.setPause(c, pause.Used)
		}
		var got []service.MoveStatus
		if err := c.call(http.MethodGet, "/admin/moves", nil, nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got)
		}
		var rows [][]string
		for _, m := range got {
			rows = append(rows, []string{m.Runner, m.Model, m.Version, m.State, m.Reason, m.Age})
		}
		table("RUNNER\tMODEL\tVERSION\tSTATE\tREASON\tAGE", rows)
		return nil
	}}
}

func (f *treeFlags) setPause(c *client, pause bool) error {
	var got service.Got
	if err := c.call(http.MethodGet, "/admin/tree", url.Values{"path": {tree.Root}}, nil, &got); err != nil {
		return err
	}
	if got.Node.Store == nil {
		return &failure{status: http.StatusNotFound, Problem: adminProblem("the root has no store")}
	}
	got.Node.Store.Pause = pause
	f.noteIf(pause, "pause moves", "resume moves")
	return f.put(c, got)
}

func requestsCommand() command {
	s := flaggy.NewSubcommand("requests")
	s.Description = "show how many requests are in progress, waiting and held, by daemon"
	return command{s, func(c *client) error {
		var got service.Status
		if err := c.call(http.MethodGet, "/admin/status", nil, nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got.Members)
		}
		var rows [][]string
		for _, m := range got.Members {
			held, _ := core.Bytes(m.Held).MarshalText()
			rows = append(rows, []string{m.Name, m.Place, strconv.Itoa(m.Running), strconv.Itoa(m.Queued), string(held)})
		}
		table("MEMBER\tPLACE\tRUNNING\tQUEUED\tHELD", rows)
		return nil
	}}
}
