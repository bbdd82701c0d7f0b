package dispatch

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"primroseward/core"
	"primroseward/io/retain"
)

const (
	// maxBuffered bounds what is held in memory of one plain answer, in bytes. Up to there an answer
	// that breaks off can be requested again, and looks like no answer to the caller.
	maxBuffered = 8 << 20
	// maxBufferedTotal bounds what is held of all answers together, in bytes, apart from minBlock of each plain one
	// and freeBuffered of each stream. WithAnswerMemory sets a lower bound.
	maxBufferedTotal = 32 << 20
	// freeBuffered is what may be held of each stream in any case, in bytes.
	freeBuffered = 64 << 10
	// minBlock and maxBlock bound the blocks in which an answer is held, in bytes.
	minBlock = 4 << 10
	maxBlock = 64 << 10
)

// answerBuffer holds the beginning of an answer, or all of it.
type answerBuffer struct {
	budget *retain.Budget
	blocks [][]byte
	size   int // of the blocks
	taken  int // from the budget
	read   int // of the first block
}

// fill reads from an answer until its end or as much as may be held. Its error is io.EOF at the end and
// nil if there may be more.
func (b *answerBuffer) fill(in io.Reader) error {
	for {
		block := min(max(minBlock, b.size), maxBlock)
		if !b.reserve(block) {
			return nil
		}
		data, err := readBlock(in, block)
		b.blocks = append(b.blocks, data)
		b.size += len(data)
		if err != nil {
			return err
		}
	}
}

// reserve reports whether n more bytes may be held.
func (b *answerBuffer) reserve(n int) bool {
	if b.size+n <= minBlock {
		return true
	}
	if b.size+n > maxBuffered || !b.budget.Take(n) {
		return false
	}
	b.taken += n
	return true
}

// readBlock reads until a block is full or the reader returns an error.
func readBlock(in io.Reader, size int) ([]byte, error) {
	block := make([]byte, size)
	n := 0
	for n < size {
		m, err := in.Read(block[n:])
		n += m
		if err != nil {
			return block[:n], err
		}
	}
	return block, nil
}

// Read returns what is held, and io.EOF after it.
func (b *answerBuffer) Read(p []byte) (int, error) {
	for len(b.blocks) > 0 {
		if n := copy(p, b.blocks[0][b.read:]); n > 0 {
			b.read += n
			return n, nil
		}
		b.blocks, b.read = b.blocks[1:], 0
	}
	_ = b.Close()
	return 0, io.EOF
}

// Close drops what is held.
func (b *answerBuffer) Close() error {
	b.budget.Release(b.taken)
	b.blocks, b.taken = nil, 0
	return nil
}

// longAnswer is an answer of which a part is passed on before its end is known. If it breaks off then,
// the caller's connection is aborted.
type longAnswer struct {
	ctx    context.Context
	j      *job
	runner *core.Runner
	held   *answerBuffer
	body   io.ReadCloser
	status int
	bytes  int
	err    error
}

// Read returns what is held, then the rest as it arrives.
func (l *longAnswer) Read(p []byte) (int, error) {
	if l.err != nil {
		return 0, l.err
	}
	if n, err := l.held.Read(p); err == nil {
		return n, nil
	}
	n, err := l.body.Read(p)
	l.bytes += n
	if err == io.EOF {
		err = l.j.confirmEnd(l.ctx, l.runner, l.j.framing)
	}
	switch err {
	case nil:
	case io.EOF:
		l.err = io.EOF
		l.j.answerEnded(l.runner, l.status, l.bytes)
	default:
		l.err = err
		if final := l.j.handleError(l.ctx, l.runner, eris.Wrap(err, "answer")); final != nil {
			l.err = final
		}
		if l.ctx.Err() == nil {
			l.j.d.metrics.cut()
		}
	}
	return n, l.err
}

// Close ends the answer. A runner still working on it stops.
func (l *longAnswer) Close() error {
	_ = l.held.Close()
	return l.body.Close()
}
