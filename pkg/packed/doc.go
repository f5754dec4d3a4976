// Package packed decodes msgpack that another program may have written: what it allocates is in
// proportion to the bytes that it gets, whatever lengths these announce.
package packed
