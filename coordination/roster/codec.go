package roster

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

// pack writes digests of parts, loads and usage, each of one packet. The first part is the
// sender's own, which each of them begins with, as it names the sender.
func pack(fleet bool, parts []*rosterv1.Part, loads []*rosterv1.Loads, usage []*rosterv1.Usage) [][]byte {
	own := proto.CloneOf(parts[0])
	own.Members = nil
	begin := func() *rosterv1.Digest { return &rosterv1.Digest{Fleet: fleet, Parts: []*rosterv1.Part{own}} }
	digests := []*rosterv1.Digest{{Fleet: fleet, Parts: parts[:1]}}
	for _, one := range parts[1:] {
		last := digests[len(digests)-1]
		if proto.Size(last)+proto.Size(one) > maxPacket {
			last = begin()
			digests = append(digests, last)
		}
		last.Parts = append(last.Parts, one)
	}
	for _, one := range loads {
		last := digests[len(digests)-1]
		if last.Loads != nil || proto.Size(last)+proto.Size(one) > maxPacket {
			last = begin()
			digests = append(digests, last)
		}
		last.Loads = one
	}
	for _, one := range usage {
		last := digests[len(digests)-1]
		if len(one.Workspaces) == 0 && one.Chunks == 1 && len(digests) > 1 {
			continue // none is used, which a digest without usage tells as well
		}
		if last.Usage != nil || proto.Size(last)+proto.Size(one) > maxPacket {
			last = begin()
			digests = append(digests, last)
		}
		last.Usage = one
	}
	out := make([][]byte, len(digests))
	for i, one := range digests {
		out[i] = write(&rosterv1.Datagram{Kind: &rosterv1.Datagram_Digest{Digest: one}})
	}
	return out
}

// write encodes a datagram. All of its parts can be written.
func write(d *rosterv1.Datagram) []byte {
	data, err := proto.Marshal(d)
	if err != nil {
		panic(err) // only strings that are no UTF-8 can't be written; names are checked at the start
	}
	return data
}

func flagsOf(s *Status) rosterv1.Flag {
	var f rosterv1.Flag
	for _, one := range []struct {
		set  bool
		flag rosterv1.Flag
	}{
		{s.Ready, rosterv1.Flag_FLAG_READY},
		{s.Failing, rosterv1.Flag_FLAG_FAILING},
		{s.Leaving, rosterv1.Flag_FLAG_LEAVING},
		{s.Fresh, rosterv1.Flag_FLAG_FRESH},
	} {
		if one.set {
			f |= one.flag
		}
	}
	return f
}

// statusOf is the inverse of flagsOf, for what flags tell.
func statusOf(f rosterv1.Flag) Status {
	return Status{
		Ready: f&rosterv1.Flag_FLAG_READY != 0, Failing: f&rosterv1.Flag_FLAG_FAILING != 0,
		Leaving: f&rosterv1.Flag_FLAG_LEAVING != 0, Fresh: f&rosterv1.Flag_FLAG_FRESH != 0,
	}
}

func changesTo(c core.Changes) *rosterv1.Changes {
	return &rosterv1.Changes{Config: c.Config, Runners: c.Runners, Settings: c.Settings}
}

func changesFrom(c *rosterv1.Changes) core.Changes {
	return core.Changes{Config: c.GetConfig(), Runners: c.GetRunners(), Settings: c.GetSettings()}
}

func sourcesTo(s Sources) *rosterv1.Sources {
	return &rosterv1.Sources{Config: uint32(s.Config), Runners: uint32(s.Runners), Settings: uint32(s.Settings)}
}

func sourcesFrom(s *rosterv1.Sources) Sources {
	return Sources{Config: core.Code(s.GetConfig()), Runners: core.Code(s.GetRunners()), Settings: core.Code(s.GetSettings())}
}

// millis is a time on the wire; one below zero stays so.
func millis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func codesTo(codes []core.Code) []uint32 {
	out := make([]uint32, len(codes))
	for i, c := range codes {
		out[i] = uint32(c)
	}
	return out
}

func codesFrom(codes []uint32) []core.Code {
	out := make([]core.Code, len(codes))
	for i, c := range codes {
		out[i] = core.Code(c)
	}
	return out
}

func loadsTo(loads map[core.Code]int) *rosterv1.Loads { return split(loads, 1)[0] }

// chunksOf writes loads in chunks that fit into packets.
func chunksOf(loads map[core.Code]int) []*rosterv1.Loads {
	return split(loads, max(1, (len(loads)+maxChunk-1)/maxChunk))
}

func split(loads map[core.Code]int, chunks int) []*rosterv1.Loads {
	out := make([]*rosterv1.Loads, chunks)
	for i := range out {
		out[i] = &rosterv1.Loads{Chunk: uint32(i), Chunks: uint32(chunks)}
	}
	for runner, n := range loads {
		if one := out[int(runner)%chunks]; n > 0 {
			one.Runners = append(one.Runners, uint32(runner))
			one.Requests = append(one.Requests, uint32(n))
		}
	}
	return out
}

// merge puts a chunk in place of what was told before of its runners.
func merge(loads map[core.Code]int, l *rosterv1.Loads) map[core.Code]int {
	return replaceChunk(loads, loadsFrom(l), l.GetChunk(), l.GetChunks())
}

// replaceChunk puts what a chunk tells in place of what was told of its codes, which are
// those that leave its index when divided by the number of chunks; 0 stands for one.
func replaceChunk[V any](was, told map[core.Code]V, chunk, chunks uint32) map[core.Code]V {
	chunks = max(1, chunks)
	out := make(map[core.Code]V, len(was)+len(told))
	for code, v := range was {
		if uint32(code)%chunks != chunk {
			out[code] = v
		}
	}
	maps.Copy(out, told)
	return out
}

func loadsFrom(l *rosterv1.Loads) map[core.Code]int {
	out := make(map[core.Code]int, len(l.GetRunners()))
	for i, runner := range l.GetRunners() {
		if i < len(l.GetRequests()) {
			out[core.Code(runner)] = int(l.GetRequests()[i])
		}
	}
	return out
}
