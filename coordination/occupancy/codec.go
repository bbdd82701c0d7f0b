package occupancy

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/core"
)

const (
	// Magic is the first byte of each datagram. It starts neither a JSON object nor a protobuf
	// message, as its low three bits are no wire type.
	Magic = 0xb7
	// formatVersion is the second byte. A daemon drops datagrams of other versions.
	formatVersion = 1
	// maxDatagram is the largest size of a datagram, in bytes: the network fragments larger
	// ones, and the loss of one fragment loses the whole datagram.
	maxDatagram = 1300
	// maxEntrySize is the largest size of an encoded entry, in bytes.
	maxEntrySize = binary.MaxVarintLen32 + 3*binary.MaxVarintLen16
	// maxCountsHeader is the largest size of what precedes counts in a datagram, in bytes.
	maxCountsHeader = fixedSize + 4*binary.MaxVarintLen64 + listIDSize + 2*binary.MaxVarintLen32
	listIDSize      = 4
	// escape stands for a number that does not fit into four bits.
	escape = 15
	// maxParts bounds the datagrams of a message.
	maxParts = 32
	// maxListed bounds the runners of a list. A list of 8,000 takes three bytes a runner, four for at most
	// 2,048 of them, and so 26 of the 40 kB that a message holds.
	maxListed = 8000
	// maxRequests bounds the requests that a message states for a runner. Runners hold fewer
	// than a hundred; a larger number is a fault of the sender.
	maxRequests = 1<<15 - 1
	// maxUptime bounds the time since the start of a sender, so that differences of such times do not overflow.
	maxUptime = math.MaxInt64 / 4 * time.Nanosecond
	// maxDaemons bounds the daemons whose requests a message counts.
	maxDaemons = 1 << 16
	// paceSteps is the number of steps in which paces are stated, per usual time: the largest error is a
	// fortieth.
	paceSteps = 20
	// paceAgeStep is the step in which the ages of paces are stated.
	paceAgeStep = 10 * time.Millisecond
)

// Errors of Receive: why a datagram was dropped. Their texts are labels of a metric.
var (
	// ErrMalformed is returned for a datagram that is not in the format.
	ErrMalformed = errors.New("malformed")
	// ErrTooLarge is returned for a datagram above the largest size.
	ErrTooLarge = errors.New("large")
	// ErrVersion is returned for a datagram of another version of the format.
	ErrVersion = errors.New("version")
	// ErrImplausible is returned for a datagram with values that no daemon measures.
	ErrImplausible = errors.New("implausible")
	// ErrUnknown is returned for a datagram of a daemon that is not in the topology.
	ErrUnknown = errors.New("unknown")
	// ErrMisdirected is returned for a datagram that its sender should not send to this daemon.
	ErrMisdirected = errors.New("misdirected")
	// ErrLate is returned for a datagram that waited too long on its way, for example while
	// this process was paused.
	ErrLate = errors.New("late")
	// ErrOutdated is returned for a datagram that is not newer than the last one of its sender.
	ErrOutdated = errors.New("outdated")
	// ErrUnlisted is returned for counts by a list of runners that has not been received.
	ErrUnlisted = errors.New("unlisted")
)

// kind is what a message contains.
type kind byte

const (
	kindReport  kind = 1 + iota // a member's own requests, to its hubs
	kindSum                     // those of a group, to the hubs of other groups
	kindTotals                  // those of all groups, to the members of a group
	kindList                    // runners by which a hub states sums and totals
	kindRequest                 // for a hub's list
)

// standbyFlag is set in the byte of the kind in reports to a hub that the sender does not follow.
const standbyFlag = 0x80

// header is the part of a message that precedes its entries.
type header struct {
	kind    kind
	standby bool
	sender  core.Code
	boot    uint32        // identifies the sender's process
	sent    time.Duration // since the start of the sender's process
	age     time.Duration // mean age of the counts when they were sent
	daemons int           // whose requests are counted
	lead    time.Duration // in totals: how long before the hub summed up the receiver's report had arrived
}

// entry is what is known of one runner.
type entry struct {
	runner   core.Code
	requests int
	pace     float64 // 0: none
	paceAt   time.Time
}

// encode returns a message of explicit runners as datagrams. The entries are sorted by runner.
func encode(now time.Time, h header, entries []entry) [][]byte {
	var out [][]byte
	var data []byte
	var last core.Code
	for _, e := range entries {
		if data == nil || len(data)+maxEntrySize > maxDatagram {
			if len(out) == maxParts {
				break
			}
			data, last = appendHeader(make([]byte, 0, maxDatagram), h, len(out)), 0
			out = append(out, nil)
		}
		data = binary.AppendUvarint(data, uint64(e.runner-last))
		if h.kind == kindReport {
			data = appendEntry(data, now, e)
		}
		last = e.runner
		out[len(out)-1] = data
	}
	if len(out) == 0 {
		out = append(out, appendHeader(nil, h, 0))
	}
	return setParts(out)
}

func setParts(datagrams [][]byte) [][]byte {
	for _, data := range datagrams {
		data[partsOffset] = byte(len(datagrams))
	}
	return datagrams
}

// listID identifies a list of runners.
func listID(list []core.Code) uint32 {
	h := xxhash.New()
	for _, code := range list {
		_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(code))) // writing to a hash never fails
	}
	return uint32(h.Sum64())
}

// encodeCounts returns a message of counts by the runners of a list as datagrams. The entries are sorted
// by runner; those that are not in the list are left out. Each datagram holds the numbers of consecutive
// runners in four bits each, then the numbers that do not fit, then the paces.
func encodeCounts(now time.Time, h header, list []core.Code, id uint32, entries []entry) [][]byte {
	var out [][]byte
	for first := 0; first == 0 || first < len(list) && len(out) < maxParts; {
		var counts, large, paces []byte
		n, lastPace := 0, 0
		for size := maxCountsHeader; first+n < len(list) && size+len(counts)+len(large)+len(paces)+maxEntrySize <= maxDatagram; n++ {
			for len(entries) > 0 && entries[0].runner < list[first+n] {
				entries = entries[1:]
			}
			var e entry
			if len(entries) > 0 && entries[0].runner == list[first+n] {
				e = entries[0]
			}
			requests := min(e.requests, maxRequests)
			if requests >= escape {
				large = binary.AppendUvarint(large, uint64(requests-escape))
			}
			if nibble := byte(min(requests, escape)); n%2 == 0 {
				counts = append(counts, nibble)
			} else {
				counts[n/2] |= nibble << 4
			}
			if e.pace > 0 {
				paces = appendPace(binary.AppendUvarint(paces, uint64(n-lastPace)), now, e)
				lastPace = n
			}
		}
		data := appendHeader(make([]byte, 0, maxDatagram), h, len(out))
		data = binary.LittleEndian.AppendUint32(data, id)
		data = binary.AppendUvarint(data, uint64(first))
		data = binary.AppendUvarint(data, uint64(n))
		out = append(out, append(append(append(data, counts...), large...), paces...))
		if first += n; first == 0 {
			break
		}
	}
	return setParts(out)
}

// decodeCounts decodes counts that were sent at a time and returns the entries of runners of which something
// is known.
func decodeCounts(list []entry, data []byte, sentAt time.Time) ([]entry, error) {
	r := reader{data: data}
	first := int(r.uvarint(uint64(len(list))))
	n := int(r.uvarint(uint64(len(list) - first)))
	if r.err != nil {
		return nil, r.err
	}
	if len(r.data) < (n+1)/2 {
		return nil, ErrMalformed
	}
	counts := r.data[:(n+1)/2]
	r.data = r.data[len(counts):]
	entries := make([]entry, n)
	for i := range entries {
		requests := uint64(counts[i/2] >> (i % 2 * 4) & escape)
		if requests == escape {
			requests += r.uvarint(maxRequests - escape)
		}
		entries[i] = entry{runner: list[first+i].runner, requests: int(requests)}
	}
	for i, start := 0, true; len(r.data) > 0 && r.err == nil; start = false {
		distance := int(r.uvarint(uint64(n)))
		if i += distance; i >= n || distance == 0 && !start {
			return nil, ErrImplausible
		}
		entries[i].pace, entries[i].paceAt = r.pace(sentAt)
	}
	if r.err != nil {
		return nil, r.err
	}
	return slices.DeleteFunc(entries, func(e entry) bool { return e.requests == 0 && e.pace == 0 }), nil
}

// Offsets of the fields of fixed size.
const (
	partOffset   = 3
	partsOffset  = 4
	senderOffset = 5
	bootOffset   = 9
	leadOffset   = 13
	fixedSize    = 14
)

func appendHeader(data []byte, h header, part int) []byte {
	k := byte(h.kind)
	if h.standby {
		k |= standbyFlag
	}
	data = append(data, Magic, formatVersion, k, byte(part), 0)
	data = binary.LittleEndian.AppendUint32(data, uint32(h.sender))
	data = binary.LittleEndian.AppendUint32(data, h.boot)
	data = append(data, 0) // see setLead
	data = binary.AppendUvarint(data, uint64(h.sent.Milliseconds()))
	data = binary.AppendUvarint(data, uint64(h.age.Milliseconds()))
	return binary.AppendUvarint(data, uint64(h.daemons))
}

// setLead sets the field lead in a copy of a datagram.
func setLead(data []byte, lead time.Duration) []byte {
	out := append([]byte(nil), data...)
	out[leadOffset] = byte(min(max(0, lead.Milliseconds()), math.MaxUint8))
	return out
}

// appendEntry appends the requests at a runner, with the lowest bit set if a pace follows.
func appendEntry(data []byte, now time.Time, e entry) []byte {
	requests := uint64(min(e.requests, maxRequests)) << 1
	if e.pace == 0 {
		return binary.AppendUvarint(data, requests)
	}
	return appendPace(binary.AppendUvarint(data, requests|1), now, e)
}

func appendPace(data []byte, now time.Time, e entry) []byte {
	data = binary.AppendUvarint(data, uint64(min(max(1, math.Round(e.pace*paceSteps)), core.MaxPace*paceSteps)))
	return binary.AppendUvarint(data, uint64(min(max(0, now.Sub(e.paceAt)), core.PaceTTL)/paceAgeStep))
}

// message is a decoded datagram.
type message struct {
	header
	part, parts int
	body        []byte
}

// decode decodes a datagram's header.
func decode(data []byte) (message, error) {
	switch {
	case len(data) < fixedSize || data[0] != Magic:
		return message{}, ErrMalformed
	case len(data) > maxDatagram:
		return message{}, ErrTooLarge
	case data[1] != formatVersion:
		return message{}, ErrVersion
	}
	m := message{part: int(data[partOffset]), parts: int(data[partsOffset])}
	m.kind, m.standby = kind(data[2]&^standbyFlag), data[2]&standbyFlag != 0
	m.sender, m.boot = core.Code(binary.LittleEndian.Uint32(data[senderOffset:])), binary.LittleEndian.Uint32(data[bootOffset:])
	m.lead = time.Duration(data[leadOffset]) * time.Millisecond
	r := reader{data: data[fixedSize:]}
	sent, age, daemons := r.uvarint(uint64(maxUptime.Milliseconds())), r.uvarint(uint64(maxAge.Milliseconds())), r.uvarint(maxDaemons)
	m.sent, m.age, m.daemons, m.body = time.Duration(sent)*time.Millisecond, time.Duration(age)*time.Millisecond, int(daemons), r.data
	switch {
	case r.err != nil:
		return message{}, r.err
	case m.kind < kindReport || m.kind > kindRequest || m.parts == 0 || m.parts > maxParts || m.part >= m.parts:
		return message{}, ErrMalformed
	case m.standby && m.kind != kindReport, m.daemons == 0, m.kind == kindReport && m.daemons != 1:
		return message{}, ErrImplausible
	}
	return m, nil
}

// decodeEntries decodes the entries of a report or a list that was sent at a time.
func decodeEntries(k kind, data []byte, sentAt time.Time) ([]entry, error) {
	out := make([]entry, 0, len(data)/4) // a code alone takes four bytes on average
	r := reader{data: data}
	last := uint64(0)
	for first := true; len(r.data) > 0; first = false {
		distance := r.uvarint(math.MaxUint32)
		last += distance
		e := entry{runner: core.Code(last)}
		if k == kindReport {
			requests := r.uvarint(maxRequests<<1 | 1)
			e.requests = int(requests >> 1)
			if requests&1 != 0 {
				e.pace, e.paceAt = r.pace(sentAt)
			}
		}
		switch {
		case r.err != nil:
			return nil, r.err
		case last > math.MaxUint32 || distance == 0 && !first:
			return nil, ErrImplausible
		}
		out = append(out, e)
	}
	return out, nil
}

// reader reads varints, until the first error.
type reader struct {
	data []byte
	err  error
}

func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.data)
	switch {
	case r.err != nil:
		return 0
	case n <= 0:
		r.err = ErrMalformed
		return 0
	case v > limit:
		r.err = ErrImplausible
		return 0
	}
	r.data = r.data[n:]
	return v
}

// pace reads a pace and the time at which the runner stated it.
func (r *reader) pace(sentAt time.Time) (pace float64, at time.Time) {
	steps := r.uvarint(core.MaxPace * paceSteps)
	age := time.Duration(r.uvarint(uint64(core.PaceTTL/paceAgeStep))) * paceAgeStep
	if steps == 0 && r.err == nil {
		r.err = ErrImplausible
	}
	return float64(steps) / paceSteps, sentAt.Add(-age)
}
