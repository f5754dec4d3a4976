// Package peer carries messages between entries over TCP.
//
// A frame is a length of four bytes, most significant first, and a msgpack
// value of that many bytes; a length above [MaxFrame] ends the link. A link
// opens with a handshake in which both sides prove that they know the shared
// secret, by an HMAC over both sides' nonces. After it the dialling side asks
// and the other side answers, one question at a time, so that an answer can
// belong to one question only. A link with a late, broken or lost answer is
// closed, never used again.
package peer
