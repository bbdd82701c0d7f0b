package main

import (
	"net/http"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"primroseward/services/holds"
)

func holdsCommand() command {
	var digest string
	s := flaggy.NewSubcommand("holds")
	s.Description = "show the requests that are quarantined because runners exited while running them"
	release := flaggy.NewSubcommand("release")
	release.Description = "let a request be served again"
	release.AddPositionalValue(&digest, "digest", 1, true, "the request's digest, as listed")
	s.AttachSubcommand(release, 1)
	return command{s, func(c *client) error {
		if release.Used {
			var done map[string]bool
			return c.call(http.MethodDelete, "/admin/holds/"+digest, nil, nil, &done)
		}
		var got []holds.Status
		if err := c.call(http.MethodGet, "/admin/holds", nil, nil, &got); err != nil {
			return err
		}
		if c.json {
			return printJSON(got)
		}
		rows := make([][]string, 0, len(got))
		for _, h := range got {
			rows = append(rows, []string{
				h.Digest.String(), string(h.State), string(h.By), h.Route, h.Service, strconv.Itoa(h.Runners),
				h.Since.UTC().Format(time.RFC3339), h.Remaining, strconv.Itoa(h.HoldCount),
			})
		}
		table("DIGEST\tSTATE\tRELEASED BY\tROUTE\tSERVICE\tRUNNERS\tSINCE\tLEFT\tTIMES", rows)
		return nil
	}}
}
