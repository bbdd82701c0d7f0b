package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"primroseward/services/workspaces"
)

func workspacesCommand() command {
	s := flaggy.NewSubcommand("workspaces")
	s.Description = "show the allowances of the workspaces, as one daemon sees them"
	return command{s, func(c *client) error {
		var got []workspaces.Status
		if err := c.call(http.MethodGet, "/admin/workspaces", nil, nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got)
		}
		rows := make([][]string, 0, len(got))
		for _, w := range got {
			state := "ok"
			if w.Problem {
				state = "invalid"
			}
			rows = append(rows, []string{
				w.Name, state, formatNumber(w.Rate), formatNumber(w.Burst), w.Unit, formatNumber(w.Demand), formatNumber(w.Admitted), formatNumber(w.Available),
				strconv.FormatFloat(w.Share, 'f', 2, 64), fmt.Sprint(w.Refused), w.UsageAge, strings.Join(w.Keys, " "),
			})
		}
		table("WORKSPACE\tSTATE\tRATE\tBURST\tUNIT\tASKED\tSPENT\tLEFT\tSHARE\tREFUSED\tAGE\tKEYS", rows)
		return nil
	}}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
