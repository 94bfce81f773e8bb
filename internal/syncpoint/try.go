package syncpoint

// Non-blocking operations that both builds share.

func trySend[T any](c chan T, v T) bool {
	select {
	case c <- v:
		return true
	default:
		return false
	}
}

func tryRecv[T any](c chan T) (v T, ok bool) {
	select {
	case v, ok = <-c:
		return v, ok
	default:
		return v, false
	}
}
