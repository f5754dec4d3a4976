// Package peer carries messages between entries, the server processes of the gateway or of the job
// service, over TCP.
//
// A frame is a length of four bytes, big-endian, and a msgpack value of that many bytes; a length
// above [MaxFrame] ends the link. There are two protocols on it.
//
// [Client] and [Server] serve package membership. A link opens with a handshake in which both sides
// prove that they know the shared secret, by an HMAC over both sides' nonces. The dialing side then
// sends one request at a time, so that replies need no IDs; a link whose reply is late, lost or
// malformed is closed.
//
// [Caller] and [CallServer] serve packages ownership and node. They carry many calls at once over
// one link, without a handshake, and match replies to calls by ID. A link on which no data arrives
// is probed and replaced if the peer answers on a new one. The server bounds the bytes of the frames
// and of the calls under way on all links together: it closes the link whose frame began first, and
// refuses calls.
package peer
