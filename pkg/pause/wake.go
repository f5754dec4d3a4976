package pause

// Wake signals a loop that receives from a channel of capacity one; signals that the loop has not
// received yet are merged.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
