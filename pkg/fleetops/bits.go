package fleetops

// newBits returns a bitmap over n items.
func newBits(n int) []byte { return make([]byte, (n+7)/8) }

func setBit(bits []byte, at int) { bits[at/8] |= 1 << (at % 8) }

// hasBit reports whether a bit is set; those past the end are not.
func hasBit(bits []byte, at int) bool { return at/8 < len(bits) && bits[at/8]&(1<<(at%8)) != 0 }

// unionOfBits returns the bits that are set in either bitmap.
func unionOfBits(a, b []byte) []byte {
	union := make([]byte, max(len(a), len(b)))
	copy(union, a)
	for i := range b {
		union[i] |= b[i]
	}
	return union
}
