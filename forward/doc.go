// Package forward carries a request to a target over HTTP/1.1 and passes its
// answer back while it arrives. Bodies are streamed in both directions through
// buffers of 32 KB or less; heads are bounded to 64 KB.
//
// It opens and pools its own connections, so that it knows for each failure
// whether any byte of the request may have reached the target. Messages are
// parsed by net/http. A connection carries one request at a time. It is used
// again only if the answer was read to its declared end, nothing more was
// read, the request was written completely, and neither side asked to close.
// It is closed after any timeout, cancellation or error.
//
// An answer whose body ends before its declared end gives an error when it is
// read, and so does one that declares no length and ends with the connection:
// the end of a connection does not tell a whole body from a truncated one.
//
// HTTP/1.1 answers carry no request number. Bytes that a target sends without
// being asked are seen, and the connection is closed, if they arrive before the
// next request is written.
package forward
