package spread

import (
	"context"
	"strings"

	"primroseward/core"
	"primroseward/state/tree"
)

// list takes in the platform's whole settings.
func (s *Spreader) list(ctx context.Context) (uint64, error) {
	at := s.clock.Now()
	objects, version, err := s.platform.List(ctx, core.KindTree)
	if err != nil {
		return 0, err
	}
	seen := map[string]bool{}
	var branches []tree.Branch
	for _, o := range objects {
		b := branchesOf(core.KindTree, core.Event{Object: o})
		branches = append(branches, b...)
		seen[b[0].Name] = true
	}
	s.remember(seen, version)
	s.Take(append(branches, s.vanished(seen, version)...))
	s.confirm(at)
	vms, _, err := s.platform.List(ctx, core.KindVM)
	if err != nil {
		return 0, err
	}
	for _, o := range vms {
		s.Take(branchesOf(core.KindVM, core.Event{Object: o}))
	}
	return version, nil
}

// remember keeps the newest snapshot's names.
func (s *Spreader) remember(seen map[string]bool, version uint64) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	if version >= s.listedAt {
		s.listed, s.listedAt = seen, version
	}
}

// vanished marks as deleted the branches that a snapshot lacks. A snapshot
// older than a branch lacks it because it is old, so that branch stays.
func (s *Spreader) vanished(seen map[string]bool, version uint64) []tree.Branch {
	var out []tree.Branch
	for name, have := range s.replica.Versions() {
		if !seen[name] && have < version && !strings.HasPrefix(name, tree.VMPrefix) {
			out = append(out, tree.Branch{Name: name, Version: version, Deleted: true})
		}
	}
	return out
}

// bury turns branches into deleted ones that the latest snapshot of the
// platform should have had and did not. A relay that starts after a deletion
// holds no mark of it; it would otherwise take the branch back from a daemon
// that missed the deletion, and spread it again.
func (s *Spreader) bury(branches []tree.Branch) []tree.Branch {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	out := make([]tree.Branch, len(branches))
	for i, b := range branches {
		gone := b.Version <= s.listedAt && !s.listed[b.Name] && !strings.HasPrefix(b.Name, tree.VMPrefix)
		if gone {
			b = tree.Branch{Name: b.Name, Version: s.listedAt, Deleted: true}
		}
		out[i] = b
	}
	return out
}
