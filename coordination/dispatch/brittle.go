package dispatch

import (
	"context"
	"slices"
	"time"

	"primroseward/core"
)

const (
	// maxRoomWait is how long a request waits for room at brittle runners, at most its route's
	// target. It looks again every roomPollInterval.
	maxRoomWait      = 500 * time.Millisecond
	roomPollInterval = 5 * time.Millisecond
)

// roomAwaited reports whether the request should wait for room at a brittle runner, where it has
// waited for a time, and waits for the next look if so.
func (j *job) roomAwaited(ctx context.Context, err error, waited *time.Duration) bool {
	if err != errFull || j.brittleRoom == 0 || *waited >= min(maxRoomWait, j.route.Target) || ctx.Err() != nil {
		return false
	}
	*waited += roomPollInterval
	core.Sleep(ctx, j.d.clock, roomPollInterval)
	return true
}

// chooseOwner returns a daemon that has room at the brittle runners that may serve the request, as
// this one has none, or nil.
func (j *job) chooseOwner() *core.Runner {
	if !j.mayForward() {
		return nil
	}
	exclude := map[string]bool{}
	for _, name := range j.d.helpers.Names() {
		exclude[name] = j.tried[name] || !slices.Contains(j.brittleOwners, name)
	}
	return j.chooseHelperExcept("room at brittle runners", exclude)
}
