package core

import (
	"context"
	"time"
)

// Sleep waits for a time or for the end of ctx.
func Sleep(ctx context.Context, clock Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
