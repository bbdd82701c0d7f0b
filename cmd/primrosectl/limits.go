package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"primroseward/services/limits"
)

func limitsCommand() command {
	s := flaggy.NewSubcommand("limits")
	s.Description = "show the limits that runners send and those of the settings tree, as one daemon sees them"
	return command{s, func(c *client) error {
		var got []limits.Status
		if err := c.call(http.MethodGet, "/admin/limits", nil, nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got)
		}
		rows := make([][]string, 0, len(got))
		for _, l := range got {
			from := l.From
			if from == "" {
				from = "itself"
			}
			rows = append(rows, []string{
				l.Name, formatNumber(l.Rate), fmt.Sprintf("%.1f", l.Demand), fmt.Sprintf("%.1f", l.Sent), fmt.Sprintf("%.1f", l.Available),
				fmt.Sprintf("%.0f%%", 100*l.Share), strconv.FormatInt(l.Refused, 10), from, formatSeconds(l.LimitAge),
			})
		}
		table("NAME\tRATE\tASKED\tSENT\tLEFT\tSHARE\tREFUSED\tFROM\tHEARD", rows)
		return nil
	}}
}

// formatSeconds formats a time in seconds, rounded to 100 ms.
func formatSeconds(seconds float64) string {
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond).String()
}
