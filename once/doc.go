// Package once decides whether an entry instance may execute a request that
// carries an idempotency key.
//
// A key is "instance.incarnation.epoch.suffix". The first three parts are the
// prefix that an instance issued in a look-up answer, the suffix is the
// caller's own. Only the incarnation that issued the prefix, or the one
// successor to which it handed its records over, may execute the key. Every
// other instance relays the request or refuses it, so no agreement between
// instances is needed.
//
// Epochs last 60 s and count from the start of the incarnation. A record is
// kept until 10 minutes after the end of its key's epoch; a key past that time
// is refused, so that dropping its record cannot allow a second execution. The
// registry holds at most 65,536 records.
//
// The package opens no sockets and takes the current time as an argument. Time
// that runs backwards is read as the latest time seen.
package once
