package core

// Class is the urgency of a request.
type Class string

// Classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBatch  Class = "batch"
)

// Classes lists all classes, most urgent first.
var Classes = []Class{ClassUrgent, ClassNormal, ClassBatch}

// Rank returns the class's index in Classes; an unknown class ranks as normal.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassBatch:
		return 2
	default:
		return 1
	}
}

// Valid reports whether c is one of Classes.
func (c Class) Valid() bool {
	return c == ClassUrgent || c == ClassNormal || c == ClassBatch
}
