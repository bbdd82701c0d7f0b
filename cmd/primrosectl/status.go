package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	service "primroseward/services/tree"
)

func statusCommand() command {
	s := flaggy.NewSubcommand("status")
	s.Description = "show which settings are accepted, which are in force and which daemons lag"
	return command{s, func(c *client) error {
		var got service.Status
		if err := c.call(http.MethodGet, "/admin/status", nil, nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got)
		}
		printStatus(&got)
		return nil
	}}
}

func printStatus(s *service.Status) {
	fmt.Printf("platform answers: %t   in force everywhere: %t\n", s.Platform, s.InForce)
	var rows [][]string
	for _, m := range s.Members {
		rows = append(rows, []string{
			m.Name, m.DataCentre, m.State, formatBool(m.Reachable), strconv.Itoa(m.Behind), m.SinceConfirmed, strconv.Itoa(m.Running), strconv.Itoa(m.Queued), strings.Join(m.Runners, ","), roles(m),
		})
	}
	table("MEMBER\tPLACE\tSTATE\tREACHED\tBEHIND\tCONFIRMED\tRUNNING\tQUEUED\tOWNS\tROLES", rows)
	rows = nil
	for _, b := range s.Branches {
		lag := "-"
		if len(b.Lagging) > 0 {
			lag = strings.Join(b.Lagging, ",") + " for " + time.Since(b.At).Round(time.Second).String()
		}
		rows = append(rows, []string{b.Branch, strconv.FormatUint(b.Accepted, 10), b.By, lag})
	}
	table("BRANCH\tACCEPTED\tBY\tLAGGING", rows)
	for _, p := range s.Problems {
		fmt.Println("problem:", p)
	}
	for _, m := range s.Members {
		for _, p := range m.Problems {
			fmt.Printf("problem at %s: %s\n", m.Name, p)
		}
	}
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func roles(m service.MemberStatus) string {
	var out []string
	if m.Relay {
		out = append(out, "relay")
	}
	if m.Planner {
		out = append(out, "planner")
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, ",")
}
