package core

import (
	"context"
	"time"
)

// Sleep waits until d has passed on clock or ctx is done.
func Sleep(ctx context.Context, clock Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
