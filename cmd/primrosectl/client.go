package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"primroseward/core"
	"primroseward/transport/admin"
)

const callTimeout = 15 * time.Second

// client calls the admin API of one daemon, or of the store if --store is set.
type client struct {
	*globals
	http *http.Client
}

func newClient(g *globals) (*client, error) {
	c := &client{globals: g, http: &http.Client{Timeout: callTimeout}}
	if g.store == "" {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	t, err := newStoreTransport(ctx, g.store)
	if err != nil {
		return nil, err
	}
	c.http.Transport = t
	return c, nil
}

// apiError is an error answer of the admin API.
type apiError struct {
	status int
	admin.Problem
}

func (f *apiError) Error() string {
	lines := append([]string{f.Problem.Error}, f.Problems...)
	if f.Winner != nil {
		node, _ := json.MarshalIndent(f.Winner.Node, "", "  ")
		lines = append(lines, fmt.Sprintf("%s is now, at version %d:", f.Winner.Path, f.Winner.Version), string(node))
	}
	return strings.Join(lines, "\n")
}

var (
	errUsage   = errors.New("usage")
	errLagging = errors.New("accepted, but not in force everywhere within the time")
)

// exitCode returns the process's exit code for an error.
func exitCode(err error) int {
	var f *apiError
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errLagging):
		return exitLagging
	case errors.Is(err, core.ErrUnavailable):
		return exitUnavailable
	case !errors.As(err, &f):
		return exitFailed
	}
	switch f.status {
	case http.StatusUnprocessableEntity:
		return exitRefused
	case http.StatusConflict:
		return exitConflict
	case http.StatusNotFound:
		return exitNotFound
	case http.StatusServiceUnavailable:
		return exitUnavailable
	default:
		return exitFailed
	}
}

// call sends in as JSON, unless it is nil, and decodes the answer into out.
func (c *client) call(method, path string, query url.Values, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+c.admin+path+"?"+query.Encode(), body)
	if err != nil {
		return fmt.Errorf("%w: --admin: %s", errUsage, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set(admin.HeaderOperator, c.by)
	resp, err := c.http.Do(req)
	if err != nil {
		return &apiError{status: http.StatusServiceUnavailable, Problem: admin.Problem{Error: err.Error()}}
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		f := &apiError{status: resp.StatusCode}
		if json.NewDecoder(resp.Body).Decode(&f.Problem) != nil {
			f.Problem.Error = resp.Status
		}
		return f
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// printJSON writes a value as indented JSON to standard output.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes a header and rows to standard output in aligned columns.
func table(header string, rows [][]string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func problem(text string) admin.Problem { return admin.Problem{Error: text} }
