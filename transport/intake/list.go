package intake

// phase is what a connection waits for.
type phase int

// Phases of a connection.
const (
	phaseNone    phase = iota // not counted yet
	phaseIdle                 // the first byte of a request
	phaseHead                 // the rest of a head
	phaseBody                 // the rest of a body
	phaseWhole                // the answer: its request has arrived whole
	phaseClosing              // refused, what the client still sends is dropped
	phaseClosed
)

// list is a doubly linked list of connections.
type list struct{ first, last *Conn }

func (l *list) add(c *Conn) {
	c.in, c.preceding, c.following = l, l.last, nil
	if l.last != nil {
		l.last.following = c
	} else {
		l.first = c
	}
	l.last = c
}

func (l *list) remove(c *Conn) {
	if c.preceding != nil {
		c.preceding.following = c.following
	} else {
		l.first = c.following
	}
	if c.following != nil {
		c.following.preceding = c.preceding
	} else {
		l.last = c.preceding
	}
	c.in, c.preceding, c.following = nil, nil, nil
}

// enter moves a connection to a phase, and to the end of its list. A connection that has been closed stays so. The
// caller must hold the lock.
func (i *Intake) enter(c *Conn, p phase) {
	if c.phase == phaseClosed {
		return
	}
	if c.in != nil {
		c.in.remove(c)
	}
	c.progress = i.clock.Now()
	if c.phase <= phaseIdle || c.phase == phaseWhole {
		c.began = c.progress
	}
	c.phase = p
	switch p {
	case phaseIdle:
		c.port.idle.add(c)
	case phaseHead, phaseBody:
		c.port.partial.add(c)
	case phaseClosing:
		c.port.closing.add(c)
	case phaseNone, phaseWhole, phaseClosed:
	}
}

// to is enter with the lock taken. It reports whether the connection is still open.
func (c *Conn) to(p phase) bool {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.enter(c, p)
	return c.phase != phaseClosed
}

// advance notes the progress of a body.
func (c *Conn) advance(n int) {
	if c.unnoted += n; c.unnoted >= progressBytes {
		c.unnoted = 0
		c.to(phaseBody)
	}
}
