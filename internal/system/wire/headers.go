package wire

// Headers of the HTTP protocol between clients, carriers and workers.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderOrderingKey = "X-Ordering-Key"
	HeaderDelay       = "X-Delay-Ms"
	HeaderDeadline    = "X-Deadline-Ms"
	HeaderCallback    = "X-Callback-Url"
	HeaderInstance    = "X-Expect-Instance"
	HeaderSignature   = "X-Response-Signature"
	HeaderNotExecuted = "X-Not-Executed"
	HeaderLoad        = "X-Server-Load"
	HeaderRetryAfter  = "Retry-After"
	HeaderContentType = "Content-Type"
	HeaderKeepAlive   = "Keep-Alive"
)
