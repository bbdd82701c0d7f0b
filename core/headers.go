package core

// HTTP headers between callers, daemons and endpoints.
const (
	// HeaderRequestID names an attempt to an endpoint, which echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is RFC 9218's urgency.
	HeaderPriority = "Priority"
	// HeaderLimit is the number of requests per second that an endpoint accepts from all
	// daemons together. It applies as long as the endpoint's answers carry the header.
	HeaderLimit = "Server-Limit"
	// HeaderBrittle is the number of requests per second that an endpoint can reject for want of
	// room without failing. It applies as long as the endpoint's answers carry the header.
	HeaderBrittle = "Server-Brittle"
	// HeaderLeaving is 1 in all answers of an endpoint whose instance is leaving.
	HeaderLeaving = "Server-Leaving"
	// HeaderRetryAfter is the time in seconds, fractions allowed, for which an endpoint that
	// answers with status 503 asks for no requests.
	HeaderRetryAfter = "Retry-After"
	// HeaderVersion is the version of an endpoint's software, in its answers.
	HeaderVersion = "Server-Version"
	// HeaderResumes names the attempt that brought the first event of a stream, in a caller's request
	// that takes the stream up after its last event.
	HeaderResumes = "Resumes"
	// HeaderIdempotencyKey marks resends of the same request by a caller.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequest carries the caller's request id in requests and answers.
	HeaderRequest = "Primrose-Request-Id"
	// HeaderService names the service of a model request.
	HeaderService = "Primrose-Service"
	// HeaderClass names the class of a request.
	HeaderClass = "Primrose-Class"
	// HeaderRunner names the endpoint that answered.
	HeaderRunner = "Primrose-Runner"
	// HeaderDataCentre names the data centre in which the request was answered.
	HeaderDataCentre = "Primrose-Place"
	// HeaderFrom names the daemon that forwards a request to another one. The next five headers
	// of such a request are the fields of Forward.
	HeaderFrom     = "Primrose-From"
	HeaderRuns     = "Primrose-Runs"
	HeaderArrived  = "Primrose-Arrived"
	HeaderAttempts = "Primrose-Attempts"
	HeaderCounted  = "Primrose-Counted"
	HeaderKeyID    = "Primrose-Key"
	HeaderCaller   = "Primrose-Caller"
	// HeaderCode is the code of a refusal in the answer to a forwarded request.
	HeaderCode = "Primrose-Code"
	// HeaderOutcome states in an error answer whether the request may have run.
	HeaderOutcome = "Primrose-Outcome"
)
