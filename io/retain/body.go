package retain

import (
	"errors"
	"io"
)

// ErrFull is returned where there is no room for a body now, ErrLarge where there never is.
var (
	ErrFull  = errors.New("the bodies of the requests in progress take up the memory that is set aside for them")
	ErrLarge = errors.New("the body is larger than the memory that is set aside for bodies")
)

const (
	// small is the amount up to which the whole budget may be taken, in bytes.
	small = 64 << 10
	// firstRead is the first size of a buffer for a body of unknown length, in bytes.
	firstRead = 4 << 10
)

// Body is a request's body.
type Body struct {
	Data   []byte
	budget *Budget
	taken  int
}

// Read reads a body; size is its length in bytes, or -1 if that is not known. The room is taken before the
// bytes are read, and stays taken until Release unless an error is returned.
func (b *Body) Read(in io.Reader, size int64, budget *Budget) error {
	b.budget = budget
	err := b.read(in, size)
	if err != nil {
		b.Release()
	}
	return err
}

// Release drops the body.
func (b *Body) Release() {
	b.budget.Release(b.taken)
	b.Data, b.taken = nil, 0
}

func (b *Body) read(in io.Reader, size int64) error {
	if size >= 0 {
		if err := b.take(size); err != nil {
			return err
		}
		b.Data = make([]byte, size)
		_, err := io.ReadFull(in, b.Data)
		return err
	}
	if err := b.take(firstRead); err != nil {
		return err
	}
	b.Data = make([]byte, 0, firstRead)
	for {
		if len(b.Data) == cap(b.Data) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := in.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the buffer. The former one counts until the bytes have been copied.
func (b *Body) grow() error {
	former := cap(b.Data)
	if err := b.take(2 * int64(former)); err != nil {
		return err
	}
	next := make([]byte, len(b.Data), 2*former)
	copy(next, b.Data)
	b.Data = next
	b.budget.Release(former)
	b.taken -= former
	return nil
}

// take takes room for n bytes.
func (b *Body) take(n int64) error {
	if b.budget == nil {
		return nil
	}
	limit := b.budget.bodyLimit(n)
	if n > limit {
		return ErrLarge
	}
	if !b.budget.takeUpTo(int(n), limit) {
		return ErrFull
	}
	b.taken += int(n)
	return nil
}
