package main

import (
	"cmp"
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
	s.Description = "show each runner's memory, requests and models"
	drain := flaggy.NewSubcommand("drain")
	drain.Description = "send a runner no new requests and move its models to other runners"
	resume := flaggy.NewSubcommand("resume")
	resume.Description = "send requests to a drained runner again"
	for _, sub := range []*flaggy.Subcommand{drain, resume} {
		sub.AddPositionalValue(&name, "name", 1, true, "the runner")
		s.AttachSubcommand(f.addEditFlags(sub), 1)
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
		case r.Detail != "":
			state = r.Detail
		case r.Leaving:
			state = "leaving"
		}
		believed, age, pace := formatCounts(r.Counts)
		rows = append(rows, []string{
			r.Runner, r.DataCentre, r.Owner, cmp.Or(r.Version, "-"), state, formatGB(r.Capacity), formatGB(r.Committed), formatGB(r.Reserved), formatGB(r.Quarantined), formatGB(r.Free),
			fmt.Sprintf("%d+%d/%d", r.Running, r.Queued, r.Slots), believed, age, pace, strings.Join(models, " "),
		})
	}
	table("RUNNER\tPLACE\tOWNER\tVERSION\tSTATE\tMEMORY\tCOMMITTED\tRESERVED\tQUARANTINED\tFREE\tWORK\tBELIEVED\tAGE\tPACE\tMODELS", rows)
}

// formatCounts returns the columns of what the daemon chooses by; "-" is not known.
func formatCounts(c *service.RunnerCounts) (believed, age, pace string) {
	if c == nil {
		return "-", "-", "-"
	}
	pace = "-"
	if c.Pace > 0 {
		pace = strconv.FormatFloat(c.Pace, 'f', 2, 64)
	}
	return strconv.Itoa(c.Believed), cmp.Or(c.Age, "-"), pace
}

func formatGB(n int64) string { return strconv.FormatFloat(float64(n)/1e9, 'f', 1, 64) + "GB" }

// setDrain sets the drain field of the runner's endpoint entry, in the branch that has it.
func (f *treeFlags) setDrain(c *client, runner string, drain bool) error {
	var s service.Status
	if err := c.call(http.MethodGet, "/admin/status", nil, nil, &s); err != nil {
		return err
	}
	for _, b := range s.Branches {
		path := "/" + strings.Trim(b.Branch, "/")
		var got service.NodeState
		if err := c.call(http.MethodGet, "/admin/tree", url.Values{"path": {path}}, nil, &got); err != nil {
			return err
		}
		e, ok := got.Node.Endpoints[runner]
		if !ok {
			continue
		}
		e.Drain = drain
		got.Node.Endpoints[runner] = e
		f.defaultNote(drain, "drain "+runner, "resume "+runner)
		return f.putNode(c, got)
	}
	return &apiError{status: http.StatusNotFound, Problem: problem(fmt.Sprintf("runner %q is at no branch's top node", runner))}
}

// defaultNote sets the edit's note to yes if set is true and to no otherwise, unless the
// operator gave one.
func (f *treeFlags) defaultNote(set bool, yes, no string) {
	switch {
	case f.note != "":
	case set:
		f.note = yes
	default:
		f.note = no
	}
}

// putNode replaces a node that was read before, if its branch has not changed since.
func (f *treeFlags) putNode(c *client, got service.NodeState) error {
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
	pause.Description = "allow only moves that keep models reachable"
	resume := flaggy.NewSubcommand("resume")
	resume.Description = "allow all moves again"
	s.AttachSubcommand(f.addEditFlags(pause), 1)
	s.AttachSubcommand(f.addEditFlags(resume), 1)
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

// setPause sets the pause field of the root's store settings.
func (f *treeFlags) setPause(c *client, pause bool) error {
	var got service.NodeState
	if err := c.call(http.MethodGet, "/admin/tree", url.Values{"path": {tree.Root}}, nil, &got); err != nil {
		return err
	}
	if got.Node.Store == nil {
		return &apiError{status: http.StatusNotFound, Problem: problem("the root node has no store settings")}
	}
	got.Node.Store.Pause = pause
	f.defaultNote(pause, "pause moves", "resume moves")
	return f.putNode(c, got)
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
			held, _ := core.Bytes(m.StoredBytes).MarshalText()
			rows = append(rows, []string{m.Name, m.DataCentre, strconv.Itoa(m.Running), strconv.Itoa(m.Queued), string(held)})
		}
		table("MEMBER\tPLACE\tRUNNING\tQUEUED\tHELD", rows)
		return nil
	}}
}
