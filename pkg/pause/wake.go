package pause

// Wake lets a loop that receives from a channel of capacity one go on soon; more
// calls before it does so count as one.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
