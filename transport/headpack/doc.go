// Package headpack makes the heads of HTTP/1.1 messages between nodes small. A
// wrapped connection finds heads in what is written, encodes them by HPACK with
// a table of what this connection has carried before, and gives its reader the
// same bytes again. Whatever doesn't look like a head passes as it is, so the
// protocol above doesn't change and needs to know nothing of it.
//
// Between two nodes nearly all of a head repeats: a request's head of 352 bytes
// takes 58, and a response's 271 take 72 (TestHeadsBecomeSmall, means over a
// connection's first hundred). It takes 3.7 µs to encode and decode one
// (BenchmarkHead). Zones are joined by links that cost by the byte.
//
// On the wire a connection is a sequence of frames: one byte for the kind, the
// length as an unsigned varint, and as many bytes. The first byte tells a packed
// connection from a plain one, whose messages begin with a letter.
package headpack
