package node

import "time"

const (
	// retryAfter is when a caller that was refused should come again; HTTP has whole seconds.
	retryAfter = time.Second
	// lastingOutage is from when on callers come back each retryLasting: a caller that
	// comes in the first second of an outage and has five tries finds the table service
	// back after 6 s instead of 4 s. Of callers that come evenly through an outage of 5.3 s
	// none is lost, where one in four was (TestRetryAfterOutage); those that come
	// near its end are served half a second later on average.
	lastingOutage = 2 * time.Second
	retryLasting  = 2 * time.Second
	// longOutage is from when on they come back each retryLong.
	longOutage = 8 * time.Second
	retryLong  = 3 * time.Second
)

// RetryAfter is when a caller that is refused now should come again. While the table
// service answers none of the entries nothing can be taken; a caller's few tries have
// to outlast that.
func (n *Node) RetryAfter() time.Duration {
	lost := n.rows.lostFor()
	if lost == 0 || !n.members.StoreLostByMost() {
		return retryAfter
	}
	return retryAfterOutage(lost)
}

// retryAfterOutage is when to come again in an outage that has lasted for a time.
func retryAfterOutage(lasted time.Duration) time.Duration {
	switch {
	case lasted >= longOutage:
		return retryLong
	case lasted >= lastingOutage:
		return retryLasting
	default:
		return retryAfter
	}
}
