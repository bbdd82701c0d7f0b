package spread

import (
	"encoding/json"

	"primroseward/core"
	"primroseward/protocol/peerv1"
	"primroseward/state/tree"
)

// vmSpec is the body of an object of kind core.KindVM.
type vmSpec struct {
	State string `json:"state"` // live or leaving
}

// branchesOf converts an object of the platform to the branches that are
// distributed. Of the VMs only leaving ones are distributed: the live ones would be
// thousands of entries that no daemon needs.
func branchesOf(kind string, e core.Event) []tree.Branch {
	o := e.Object
	if kind == core.KindTree {
		return []tree.Branch{tree.BranchOf(e)}
	}
	var vm vmSpec
	if json.Unmarshal(o.Body, &vm) != nil {
		return nil
	}
	return []tree.Branch{{Name: tree.VMPrefix + o.Name, Version: o.Version, Deleted: e.Deleted || vm.State != tree.VMLeaving}}
}

// ToWire encodes branches as a message.
func ToWire(branches []tree.Branch) *peerv1.Branches {
	msg := &peerv1.Branches{}
	for _, b := range branches {
		msg.Branches = append(msg.Branches, &peerv1.Branch{Name: b.Name, Version: b.Version, Body: b.Body, Deleted: b.Deleted})
	}
	return msg
}

// FromWire decodes a message of branches.
func FromWire(msg *peerv1.Branches) []tree.Branch {
	out := make([]tree.Branch, 0, len(msg.Branches))
	for _, b := range msg.Branches {
		out = append(out, tree.Branch{Name: b.Name, Version: b.Version, Body: b.Body, Deleted: b.Deleted})
	}
	return out
}
