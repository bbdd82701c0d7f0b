package core

// HTTP headers between callers, daemons and endpoints.
const (
	// HeaderRequestID names an attempt to an endpoint, which echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is RFC 9218's urgency.
	HeaderPriority = "Priority"
	// HeaderLimit is the requests a second that an endpoint takes from all daemons together,
	// for as long as its answers have it.
	HeaderLimit = "Server-Limit"
	// HeaderIdempotencyKey marks resends of the same request by a caller.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequest carries a caller's request id both ways.
	HeaderRequest = "Primrose-Request-Id"
	// HeaderService names the service of a model request.
	HeaderService = "Primrose-Service"
	// HeaderClass names the class of a request.
	HeaderClass = "Primrose-Class"
	// HeaderRunner tells a caller which endpoint answered.
	HeaderRunner = "Primrose-Runner"
	// HeaderPlace tells a caller in which place it was answered.
	HeaderPlace = "Primrose-Place"
	// HeaderOutcome says of an error whether the request can have run.
	HeaderOutcome = "Primrose-Outcome"
)
