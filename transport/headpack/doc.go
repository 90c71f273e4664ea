// Package headpack compresses the heads (first line and headers) of HTTP/1.1
// messages between nodes. A wrapped connection finds heads in the bytes written
// to it, encodes them with HPACK, whose dynamic table lasts as long as the
// connection, and restores the same bytes at the other end. Bytes that don't look
// like a head are forwarded unchanged, so the HTTP code above needs no change.
//
// Between two nodes nearly all of a head repeats: a request's head of 352 bytes
// takes 58, and a response's head of 271 bytes takes 72 (TestHeadsBecomeSmall,
// means over the first hundred heads of a connection). Encoding and decoding a
// head takes 3.7 µs together (BenchmarkHead). The saving matters because traffic
// on the links between zones is charged by the byte.
//
// On the wire a packed connection is a sequence of frames: one byte for the kind,
// the length of the payload as an unsigned varint, and the payload. The first byte
// distinguishes a packed connection from a plain one, which begins with a letter.
package headpack
