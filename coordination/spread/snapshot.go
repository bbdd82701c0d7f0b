package spread

import (
	"context"
	"strings"

	"primroseward/core"
	"primroseward/state/tree"
)

// listPlatform reads all settings and the list of VMs from the platform and applies
// them. It returns the version of the settings.
func (s *Spreader) listPlatform(ctx context.Context) (uint64, error) {
	readAt := s.clock.Now()
	objects, version, err := s.platform.List(ctx, core.KindTree)
	if err != nil {
		return 0, err
	}
	names := map[string]bool{}
	var branches []tree.Branch
	for _, o := range objects {
		b := branchesOf(core.KindTree, core.Event{Object: o})
		branches = append(branches, b...)
		names[b[0].Name] = true
	}
	s.recordListing(names, version)
	s.ApplyBranches(append(branches, s.missingAsDeleted(names, version)...))
	s.confirm(readAt)
	vms, _, err := s.platform.List(ctx, core.KindVM)
	if err != nil {
		return 0, err
	}
	for _, o := range vms {
		s.ApplyBranches(branchesOf(core.KindVM, core.Event{Object: o}))
	}
	return version, nil
}

// recordListing stores the branch names and the version of the newest listing of
// the platform.
func (s *Spreader) recordListing(names map[string]bool, version uint64) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	if version >= s.listedVersion {
		s.listed, s.listedVersion = names, version
	}
}

// missingAsDeleted returns the branches that a listing of the platform does not
// contain, marked as deleted. A branch with a version newer than the listing is kept,
// since the listing is missing it only because of its age.
func (s *Spreader) missingAsDeleted(names map[string]bool, version uint64) []tree.Branch {
	var out []tree.Branch
	for name, current := range s.replica.Versions() {
		if !names[name] && current < version && !strings.HasPrefix(name, tree.VMPrefix) {
			out = append(out, tree.Branch{Name: name, Version: version, Deleted: true})
		}
	}
	return out
}

// markDeleted replaces a branch by its deletion if the newest listing of the
// platform is at least as new as the branch and does not contain it. A relay that
// starts after a deletion has no record of it. Without this check it would accept
// the branch from a daemon that missed the deletion, and spread it again.
func (s *Spreader) markDeleted(branches []tree.Branch) []tree.Branch {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	out := make([]tree.Branch, len(branches))
	for i, b := range branches {
		deleted := b.Version <= s.listedVersion && !s.listed[b.Name] && !strings.HasPrefix(b.Name, tree.VMPrefix)
		if deleted {
			b = tree.Branch{Name: b.Name, Version: s.listedVersion, Deleted: true}
		}
		out[i] = b
	}
	return out
}
