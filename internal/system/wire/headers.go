package wire

// Headers of the HTTP protocol between clients, carriers and workers.
const (
	HeaderRequestID   = "X-Request-Id"         // message ID, from the client and to and from the worker
	HeaderOrderingKey = "X-Ordering-Key"       // messages with the same key run in order, on ordered routes
	HeaderDelay       = "X-Delay-Ms"           // from the client: delay before the message may run, in milliseconds
	HeaderDeadline    = "X-Deadline-Ms"        // time that the sender waits for the response, in milliseconds
	HeaderCallback    = "X-Callback-Url"       // from the client: URL to notify of the outcome
	HeaderInstance    = "X-Expect-Instance"    // to the worker: the instance that the request is meant for
	HeaderSignature   = "X-Response-Signature" // from the worker: stamp of a successful run
	HeaderNotExecuted = "X-Not-Executed"       // from the worker: the request was not executed
	HeaderLoad        = "X-Server-Load"        // from the worker: "running,waiting,slots"
	HeaderRetryAfter  = "Retry-After"          // to the client: time after which to send again, in seconds
	HeaderContentType = "Content-Type"
	HeaderKeepAlive   = "Keep-Alive" // from the worker: idle timeout of the connection
)
