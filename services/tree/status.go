package tree

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"primroseward/coordination/member"
	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/tree"
	"primroseward/transport/peer"
)

const (
	statusTimeout  = 2 * time.Second
	statusParallel = 32
)

// BranchStatus is the accepted version of a branch and the members where it is not in force.
type BranchStatus struct {
	Branch   string    `json:"branch"`
	Accepted uint64    `json:"accepted"`
	At       time.Time `json:"at"`
	By       string    `json:"by,omitempty"`
	Lagging  []string  `json:"lagging,omitempty"` // members that have an older version
}

// MemberStatus is the state of a daemon.
type MemberStatus struct {
	Name           string   `json:"name"`
	DataCentre     string   `json:"place"`
	State          string   `json:"state"`
	Reachable      bool     `json:"reached"`
	Behind         int      `json:"behind"` // number of branches that are not yet in force there
	SinceConfirmed string   `json:"fresh"`  // time since its settings were last confirmed
	Running        int      `json:"running"`
	Queued         int      `json:"queued"`
	StoredBytes    int64    `json:"held"`
	Runners        []string `json:"runners,omitempty"`
	Relay          bool     `json:"relay,omitempty"`
	Planner        bool     `json:"planner,omitempty"`
	Problems       []string `json:"problems,omitempty"`
	// Versions holds the version of each branch that the daemon has.
	Versions map[string]uint64 `json:"versions,omitempty"`
}

// Status is the state of the whole system as one daemon sees it.
type Status struct {
	Platform bool           `json:"platform"` // the platform answers
	InForce  bool           `json:"in_force"` // the accepted versions are in force at every live member
	Branches []BranchStatus `json:"branches"`
	Members  []MemberStatus `json:"members"`
	Problems []string       `json:"problems,omitempty"`
}

// Statuses collects the state of all daemons.
type Statuses struct {
	service *Service
	members core.Members
	dial    peer.Dial
}

// NewStatuses returns a Statuses.
func NewStatuses(s *Service, members core.Members, dial peer.Dial) *Statuses {
	return &Statuses{service: s, members: members, dial: dial}
}

// Status returns the state of the whole system.
func (s *Statuses) Status(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, 2*statusTimeout)
	defer cancel()
	replies := s.collect(ctx)
	accepted, ok := s.accepted(ctx, replies)
	out := Status{Platform: ok, InForce: true}
	behind := map[string]int{}
	for _, b := range accepted {
		for name, r := range replies {
			if r == nil || versionOf(r, b.Branch) < b.Accepted {
				b.Lagging = append(b.Lagging, name)
				behind[name]++
			}
		}
		sort.Strings(b.Lagging)
		out.InForce = out.InForce && len(b.Lagging) == 0
		out.Branches = append(out.Branches, b)
	}
	for _, r := range replies {
		out.InForce = out.InForce && len(r.GetProblems()) == 0
		out.Problems = append(out.Problems, r.GetLacking()...)
	}
	for _, m := range s.members.All() {
		out.Members = append(out.Members, memberStatus(m, replies[m.Name], behind[m.Name]))
	}
	return out
}

// collect requests the status of each member; it is nil for a member that does not answer.
func (s *Statuses) collect(ctx context.Context) map[string]*peerv1.MemberStatus {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, statusParallel)
	out := map[string]*peerv1.MemberStatus{}
	for _, m := range s.members.All() {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			resp, err := s.dial(m.Peer).Status(ctx, connect.NewRequest(&peerv1.Empty{}))
			mu.Lock()
			defer mu.Unlock()
			out[m.Name] = nil
			if err == nil {
				out[m.Name] = resp.Msg
			}
		}()
	}
	wg.Wait()
	return out
}

// Accepted returns the branches as the platform has them, sorted by name. ok is false if the
// platform does not answer.
func (s *Service) Accepted(ctx context.Context) (branches []BranchStatus, ok bool) {
	objects, _, err := s.platform.List(ctx, core.KindTree)
	if err != nil {
		return nil, false
	}
	out := make([]BranchStatus, 0, len(objects))
	for _, o := range objects {
		b := BranchStatus{Branch: tree.BranchName(o.Name), Accepted: o.Version}
		if stored, err := tree.ParseBranch(o.Body); err == nil && len(stored.Log) > 0 {
			b.At, b.By = stored.Log[0].At, stored.Log[0].By
		}
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Branch < out[j].Branch })
	return out, true
}

// accepted returns the branches as the platform has them or, while the platform is down, the
// newest version that any daemon has.
func (s *Statuses) accepted(ctx context.Context, replies map[string]*peerv1.MemberStatus) ([]BranchStatus, bool) {
	stored, ok := s.service.Accepted(ctx)
	newest := map[string]BranchStatus{}
	for _, b := range stored {
		newest[b.Branch] = b
	}
	if !ok {
		for _, r := range replies {
			for _, v := range r.GetVersions() {
				if v.Version > newest[v.Branch].Accepted && !strings.HasPrefix(v.Branch, tree.VMPrefix) {
					newest[v.Branch] = BranchStatus{Branch: v.Branch, Accepted: v.Version}
				}
			}
		}
	}
	out := make([]BranchStatus, 0, len(newest))
	for _, b := range newest {
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Branch < out[j].Branch })
	return out, ok
}

// versionOf returns the version of a branch at a member, or 0 if it has none.
func versionOf(r *peerv1.MemberStatus, branch string) uint64 {
	for _, v := range r.Versions {
		if v.Branch == branch {
			return v.Version
		}
	}
	return 0
}

func memberStatus(m core.Member, r *peerv1.MemberStatus, behind int) MemberStatus {
	out := MemberStatus{Name: m.Name, DataCentre: m.DataCentre, State: m.State.String(), Behind: behind}
	if r == nil {
		return out
	}
	if self, err := member.FromWire(r.Member); err == nil {
		out.State = self.State.String()
	}
	out.Reachable = true
	out.SinceConfirmed = "never"
	if r.Fresh >= 0 {
		out.SinceConfirmed = (time.Duration(r.Fresh) * time.Millisecond).Round(100 * time.Millisecond).String()
	}
	out.Running, out.Queued, out.StoredBytes = int(r.Running), int(r.Queued), r.Held
	out.Runners, out.Relay, out.Planner, out.Problems = r.Runners, r.Relay, r.Planner, r.Problems
	sort.Strings(out.Runners)
	out.Versions = make(map[string]uint64, len(r.Versions))
	for _, v := range r.Versions {
		out.Versions[v.Branch] = v.Version
	}
	return out
}
