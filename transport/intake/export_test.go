package intake

// Cost returns the memory that is charged for a whole head, in bytes.
func Cost(text []byte) int {
	var h head
	return h.cost(h.follow(text))
}

// StallTime is how long a client may make no progress.
const StallTime = stallTime
