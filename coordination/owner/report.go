package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/state/directory"
)

const (
	reportInterval          = 500 * time.Millisecond
	unchangedReportInterval = time.Second // for a report without changes
	// keepersPerKey is how many daemons keep the directory entry of a key.
	keepersPerKey = 2
)

// runReport sends the reports of owned runners to the daemons that keep the directory
// entries of their models.
func (m *Manager) runReport(ctx context.Context) {
	defer m.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(reportInterval):
			m.sendReports(ctx)
		}
	}
}

func (m *Manager) sendReports(ctx context.Context) {
	batches := map[string][]directory.Report{}
	to := map[string]core.Member{}
	for _, r := range m.ownedRunners() {
		rep, due := r.reportIfDue()
		if !due {
			continue
		}
		for _, keeper := range Keepers(m.members, rep.Keys()) {
			batches[keeper.Name] = append(batches[keeper.Name], rep)
			to[keeper.Name] = keeper
		}
	}
	var wg sync.WaitGroup
	for name, batch := range batches {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := m.send(ctx, to[name], batch); err != nil {
				m.log.Debug("sending reports to the directory failed", zap.String("member", name), zap.Error(err))
			}
		}()
	}
	wg.Wait()
}

// KeepersOf returns the daemons that keep the directory entry of a key.
func KeepersOf(members core.Members, key string) []core.Member {
	return members.Rank("dir/"+key, "", keepersPerKey)
}

// Keepers returns the daemons that keep the directory entry of at least one of the keys,
// without duplicates.
func Keepers(members core.Members, keys []string) []core.Member {
	seen := map[string]bool{}
	var out []core.Member
	for _, key := range keys {
		for _, m := range KeepersOf(members, key) {
			if !seen[m.Name] {
				seen[m.Name] = true
				out = append(out, m)
			}
		}
	}
	return out
}
