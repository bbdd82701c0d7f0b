package placement

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
)

// send sends an order that changes a runner, one at a time.
func (h *Holder) send(one *host, o core.RunnerOrder, then func(core.OrderResult)) {
	h.transmit(one, o, func(result core.OrderResult) {
		switch result {
		case core.OrderAccepted:
			one.sequence++
			if it := one.models[o.Model]; it != nil && o.Adapter == "" {
				it.accepted = true
			}
		case core.OrderUnknown, core.OrderConflict, core.OrderRefused, core.OrderWrongHost:
			// The runner's state is read again before the next order. Until
			// then what was ordered counts as taken.
			one.synced = false
			one.retryAt = h.clock.Now().Add(reportLag)
		case core.OrderDone:
		}
		then(result)
	})
}

// confirm repeats an order to learn whether it has been carried out. While it
// is under way the runner accepts the same order again, and its sequence stays.
func (h *Holder) confirm(one *host, o core.RunnerOrder, then func(core.OrderResult)) {
	h.transmit(one, o, func(result core.OrderResult) {
		if result == core.OrderUnknown || result == core.OrderConflict {
			// A conflict shows a sequence that is not known here, such as that
			// of an order that was thought lost.
			one.synced = false
			one.retryAt = h.clock.Now().Add(reportLag)
		}
		then(result)
	})
}

func (h *Holder) transmit(one *host, o core.RunnerOrder, then func(core.OrderResult)) {
	term, ok := h.lease.Use()
	if !ok || term != h.term {
		one.synced = false
		return
	}
	one.sending = true
	o.Holder, o.Fence, o.Expected = h.self, term, one.sequence
	one.sentOut(o, h.clock.Now())
	h.count("orders")
	h.wg.Add(1)
	go h.runOrder(one, one.runner, o, then)
}

func (h *Holder) runOrder(one *host, r core.Runner, o core.RunnerOrder, then func(core.OrderResult)) {
	defer h.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), orderLimit)
	defer cancel()
	result, err := h.orders.Order(ctx, &r, o)
	h.postSure(func() { h.answered(one, o, result, err, then) })
}

// answered takes in a runner's answer to an order, unless the term in which the
// order was sent is over.
func (h *Holder) answered(one *host, o core.RunnerOrder, result core.OrderResult, err error, then func(core.OrderResult)) {
	one.sending = false
	h.noteRefused(one, err)
	h.noteLoadEnd(one, o, err)
	if result != core.OrderUnknown {
		one.answeredFor(o)
	}
	if o.Fence != h.term || h.hosts[one.runner.ID] != one {
		return
	}
	h.log.Info(logs.OrderAnswered, zap.String("runner", one.runner.ID), zap.String("model", o.Model), zap.String("adapter", o.Adapter),
		zap.Bool("load", o.Load), zap.Uint64("expected", o.Expected), zap.Int("result", int(result)), logs.Err(err))
	then(result)
}

// sentOut keeps an order for a load until it is answered, or can't come any more. One that
// the runner's sequence has gone by is kept as well: the runner's next life counts from 0.
func (h *host) sentOut(o core.RunnerOrder, now time.Time) {
	h.unanswered = slices.DeleteFunc(h.unanswered, func(l lateOrder) bool { return !now.Before(l.until) })
	if o.Load {
		h.unanswered = append(h.unanswered, lateOrder{model: o.Model, adapter: o.Adapter, expected: o.Expected, until: now.Add(lateFor)})
	}
}

// answeredFor takes out an order that was answered: the latest one like it, as an earlier
// copy that was not answered may still come.
func (h *host) answeredFor(o core.RunnerOrder) {
	for i, l := range slices.Backward(h.unanswered) {
		if l.model == o.Model && l.adapter == o.Adapter && l.expected == o.Expected {
			h.unanswered = slices.Delete(h.unanswered, i, i+1)
			return
		}
	}
}
