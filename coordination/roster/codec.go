package roster

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"primroseward/core"
	rosterv1 "primroseward/protocol/rosterv1"
)

// packSummaries encodes summaries of group states, loads and usage, each as one packet. The
// first state is that of the sender's own group: each packet begins with it, as it names the
// sender.
func packSummaries(fleet bool, parts []*rosterv1.Part, loads []*rosterv1.Loads, usage []*rosterv1.Usage) [][]byte {
	own := proto.CloneOf(parts[0])
	own.Members = nil
	newSummary := func() *rosterv1.Digest { return &rosterv1.Digest{Fleet: fleet, Parts: []*rosterv1.Part{own}} }
	summaries := []*rosterv1.Digest{{Fleet: fleet, Parts: parts[:1]}}
	for _, one := range parts[1:] {
		last := summaries[len(summaries)-1]
		if proto.Size(last)+proto.Size(one) > maxPacket {
			last = newSummary()
			summaries = append(summaries, last)
		}
		last.Parts = append(last.Parts, one)
	}
	for _, one := range loads {
		last := summaries[len(summaries)-1]
		if last.Loads != nil || proto.Size(last)+proto.Size(one) > maxPacket {
			last = newSummary()
			summaries = append(summaries, last)
		}
		last.Loads = one
	}
	for _, one := range usage {
		last := summaries[len(summaries)-1]
		if len(one.Workspaces) == 0 && one.Chunks == 1 && len(summaries) > 1 {
			continue // no usage, which a summary without the field says as well
		}
		if last.Usage != nil || proto.Size(last)+proto.Size(one) > maxPacket {
			last = newSummary()
			summaries = append(summaries, last)
		}
		last.Usage = one
	}
	out := make([][]byte, len(summaries))
	for i, one := range summaries {
		out[i] = marshal(&rosterv1.Datagram{Kind: &rosterv1.Datagram_Digest{Digest: one}})
	}
	return out
}

// marshal encodes a datagram. It panics if that fails, which valid names rule out.
func marshal(d *rosterv1.Datagram) []byte {
	data, err := proto.Marshal(d)
	if err != nil {
		panic(err) // fails only for strings that are not UTF-8; names are checked at startup
	}
	return data
}

func encodeFlags(s *Status) rosterv1.Flag {
	var f rosterv1.Flag
	for _, one := range []struct {
		set  bool
		flag rosterv1.Flag
	}{
		{s.Ready, rosterv1.Flag_FLAG_READY},
		{s.Failing, rosterv1.Flag_FLAG_FAILING},
		{s.Leaving, rosterv1.Flag_FLAG_LEAVING},
		{s.LeaseRenewed, rosterv1.Flag_FLAG_FRESH},
		{s.PathLost, rosterv1.Flag_FLAG_CUT},
	} {
		if one.set {
			f |= one.flag
		}
	}
	return f
}

// decodeFlags is the inverse of encodeFlags. It sets only the fields that flags cover.
func decodeFlags(f rosterv1.Flag) Status {
	return Status{
		Ready: f&rosterv1.Flag_FLAG_READY != 0, Failing: f&rosterv1.Flag_FLAG_FAILING != 0,
		Leaving: f&rosterv1.Flag_FLAG_LEAVING != 0, LeaseRenewed: f&rosterv1.Flag_FLAG_FRESH != 0,
		PathLost: f&rosterv1.Flag_FLAG_CUT != 0,
	}
}

func encodeChanges(c core.Changes) *rosterv1.Changes {
	return &rosterv1.Changes{Config: c.Config, Runners: c.Runners, Settings: c.Settings}
}

func decodeChanges(c *rosterv1.Changes) core.Changes {
	return core.Changes{Config: c.GetConfig(), Runners: c.GetRunners(), Settings: c.GetSettings()}
}

func encodeSources(s Sources) *rosterv1.Sources {
	return &rosterv1.Sources{Config: uint32(s.Config), Runners: uint32(s.Runners), Settings: uint32(s.Settings)}
}

func decodeSources(s *rosterv1.Sources) Sources {
	return Sources{Config: core.Code(s.GetConfig()), Runners: core.Code(s.GetRunners()), Settings: core.Code(s.GetSettings())}
}

// encodeMillis returns a duration in milliseconds, or -1 for a negative one.
func encodeMillis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func encodeCodes(codes []core.Code) []uint32 {
	out := make([]uint32, len(codes))
	for i, c := range codes {
		out[i] = uint32(c)
	}
	return out
}

func decodeCodes(codes []uint32) []core.Code {
	out := make([]core.Code, len(codes))
	for i, c := range codes {
		out[i] = core.Code(c)
	}
	return out
}

func encodeLoads(loads map[core.Code]int) *rosterv1.Loads { return splitLoads(loads, 1)[0] }

// loadChunks encodes loads in chunks that each fit into a packet.
func loadChunks(loads map[core.Code]int) []*rosterv1.Loads {
	return splitLoads(loads, max(1, (len(loads)+maxChunkRunners-1)/maxChunkRunners))
}

func splitLoads(loads map[core.Code]int, chunks int) []*rosterv1.Loads {
	out := make([]*rosterv1.Loads, chunks)
	for i := range out {
		out[i] = &rosterv1.Loads{Chunk: uint32(i), Chunks: uint32(chunks)}
	}
	for runner, n := range loads {
		if chunk := out[int(runner)%chunks]; n > 0 {
			chunk.Runners = append(chunk.Runners, uint32(runner))
			chunk.Requests = append(chunk.Requests, uint32(n))
		}
	}
	return out
}

// mergeLoads replaces the loads of the runners that a chunk covers by those in the chunk.
func mergeLoads(loads map[core.Code]int, l *rosterv1.Loads) map[core.Code]int {
	return replaceChunk(loads, decodeLoads(l), l.GetChunk(), l.GetChunks())
}

// replaceChunk replaces the values of the codes that a chunk covers by those received in it. A
// chunk covers the codes whose remainder, when divided by the number of chunks, is its index; 0
// chunks stand for one.
func replaceChunk[V any](previous, received map[core.Code]V, chunk, chunks uint32) map[core.Code]V {
	chunks = max(1, chunks)
	out := make(map[core.Code]V, len(previous)+len(received))
	for code, v := range previous {
		if uint32(code)%chunks != chunk {
			out[code] = v
		}
	}
	maps.Copy(out, received)
	return out
}

func decodeLoads(l *rosterv1.Loads) map[core.Code]int {
	out := make(map[core.Code]int, len(l.GetRunners()))
	for i, runner := range l.GetRunners() {
		if i < len(l.GetRequests()) {
			out[core.Code(runner)] = int(l.GetRequests()[i])
		}
	}
	return out
}
