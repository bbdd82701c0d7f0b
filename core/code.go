package core

import "github.com/cespare/xxhash/v2"

// Code is a hash that stands for a name in messages between daemons, where names would
// make up most of the bytes. Two names may collide: with 10,000 runners this happens in
// one fleet out of a hundred. Codes are used only where a collision does little harm: a
// runner seems busier than it is, or down for a second.
type Code uint32

// CodeOf returns a name's code.
func CodeOf(name string) Code { return Code(xxhash.Sum64String(name)) }
