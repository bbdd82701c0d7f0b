package core

import "github.com/cespare/xxhash/v2"

// Code is a short form of a name in messages between daemons, where names would make
// up most of the bytes. Two names may share one: of 10,000 runners two do in one fleet
// out of a hundred. It is used only where the mistake is small: a runner seems busier
// than it is, or down for a second.
type Code uint32

// CodeOf returns a name's code.
func CodeOf(name string) Code { return Code(xxhash.Sum64String(name)) }
