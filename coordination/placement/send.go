package placement

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// send sends an order that changes a runner's models or adapters. Only one order may be
// pending for each runner.
func (h *Holder) send(rs *runnerState, o core.RunnerOrder, then func(core.OrderResult)) {
	h.transmit(rs, o, func(result core.OrderResult) {
		switch result {
		case core.OrderAccepted:
			rs.sequence++
			if item := rs.models[o.Model]; item != nil && o.Adapter == "" {
				item.accepted = true
			}
		case core.OrderUnknown, core.OrderConflict, core.OrderRefused, core.OrderWrongInstance:
			// The runner's state is unknown until a new report has been applied. Until then
			// the ordered model or adapter counts as occupying memory.
			rs.synced = false
			rs.reportAfter = h.clock.Now().Add(reportLag)
		case core.OrderDone:
		}
		then(result)
	})
}

// confirm repeats an order to find out whether it has been carried out. While the order is
// in progress, the runner accepts the same order again without advancing its sequence.
func (h *Holder) confirm(rs *runnerState, o core.RunnerOrder, then func(core.OrderResult)) {
	h.transmit(rs, o, func(result core.OrderResult) {
		if result == core.OrderUnknown || result == core.OrderConflict {
			// A conflict shows that the runner's sequence differs from the one recorded here,
			// for example because an order that was assumed lost has been carried out.
			rs.synced = false
			rs.reportAfter = h.clock.Now().Add(reportLag)
		}
		then(result)
	})
}

func (h *Holder) transmit(rs *runnerState, o core.RunnerOrder, then func(core.OrderResult)) {
	term, ok := h.lease.Use()
	if !ok || term != h.term || !h.accepts(rs) {
		rs.synced = false
		return
	}
	rs.orderPending = true
	o.Holder, o.Fence, o.Expected = h.self, term, rs.sequence
	rs.addUnanswered(o, h.clock.Now())
	h.count("orders")
	h.wg.Add(1)
	go h.runOrder(rs, rs.runner, o, then)
}

// accepts reports whether orders may be sent to a runner now. The runner may have announced
// that it is leaving, or have asked for a backoff, since its state was last refreshed.
func (h *Holder) accepts(rs *runnerState) bool {
	if e := h.catalog.Runner(rs.runner.ID); e != nil && e.StartedAt.Equal(rs.runner.StartedAt) {
		s := h.available.State(e)
		rs.leaving, rs.backedOff = s.Leaving, s.BackedOff
	}
	return !rs.leaving && !rs.backedOff
}

func (h *Holder) runOrder(rs *runnerState, r core.Runner, o core.RunnerOrder, then func(core.OrderResult)) {
	defer h.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	result, err := h.runnerClient.Order(ctx, &r, o)
	h.postBlocking(func() { h.handleOrderResult(rs, o, result, err, then) })
}

// handleOrderResult processes a runner's answer to an order. Unless the term in which the
// order was sent has ended, it passes the result to then.
func (h *Holder) handleOrderResult(rs *runnerState, o core.RunnerOrder, result core.OrderResult, err error, then func(core.OrderResult)) {
	rs.orderPending = false
	h.noteNoListener(rs, err)
	h.noteLoadExit(rs, o, err)
	if result != core.OrderUnknown {
		rs.removeUnanswered(o)
	}
	if o.Fence != h.term || h.runners[rs.runner.ID] != rs {
		return
	}
	h.log.Info(logs.OrderAnswered, zap.String("runner", rs.runner.ID), zap.String("model", o.Model), zap.String("adapter", o.Adapter),
		zap.Bool("load", o.Load), zap.Uint64("expected", o.Expected), zap.Int("result", int(result)), logs.Err(err))
	then(result)
}

// addUnanswered records a load until it is answered or can no longer be carried out. The
// record stays even if the runner's sequence has passed the expected one, since the runner's
// next instance counts from 0 again.
func (rs *runnerState) addUnanswered(o core.RunnerOrder, now time.Time) {
	rs.unanswered = slices.DeleteFunc(rs.unanswered, func(l unansweredLoad) bool { return !now.Before(l.expiresAt) })
	if o.Load {
		rs.unanswered = append(rs.unanswered, unansweredLoad{model: o.Model, adapter: o.Adapter, expected: o.Expected, expiresAt: now.Add(maxOrderDelay)})
	}
}

// removeUnanswered removes the record of an order that was answered. Of several equal ones it
// removes the latest, since an earlier unanswered one may still be carried out.
func (rs *runnerState) removeUnanswered(o core.RunnerOrder) {
	for i, l := range slices.Backward(rs.unanswered) {
		if l.model == o.Model && l.adapter == o.Adapter && l.expected == o.Expected {
			rs.unanswered = slices.Delete(rs.unanswered, i, i+1)
			return
		}
	}
}
