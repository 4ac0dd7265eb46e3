// Package forward sends a request to a target over HTTP/1.1 and streams the
// response back. Bodies are streamed in both directions through buffers of at
// most 32 KB; response heads are limited to 64 KB.
//
// The package opens and pools its own connections, so that it knows for each
// failure whether any byte of the request may have reached the target. Messages
// are parsed by net/http. A connection carries one request at a time. It is
// reused only if the response was read to its declared end, nothing was received
// after it, the request was written completely, and neither side asked to close
// the connection. It is closed after any timeout, cancellation or error.
//
// Reading a body that ends before its declared end returns an error. So does
// reading a body without a declared length whose connection ends, unless the
// request allows it: the end of a connection does not distinguish a complete
// body from a truncated one.
//
// HTTP/1.1 responses have no request number. Unsolicited bytes from a target are
// detected, and the connection is closed, if they arrive before the next request
// is written.
package forward
