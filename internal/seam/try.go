package seam

// What both builds do without waiting.

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
