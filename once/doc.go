// Package once decides whether an entry instance may execute a request that
// carries an idempotency key.
//
// A key has the form "instance.incarnation.epoch.suffix". The first three parts
// are a prefix that an instance issues in look-up responses; the caller chooses
// the suffix. Only the incarnation that issued the prefix, or the one successor
// to which it handed its records over, may execute a request with the key. Every
// other instance relays the request or refuses it, so the instances need no
// agreement protocol.
//
// An epoch lasts 60 s; epochs are counted from the start of the incarnation. A
// record is kept until 10 minutes after the end of its key's epoch. After that
// time the key is refused, so dropping the record cannot lead to a second
// execution. A registry holds at most 65,536 records.
//
// The package opens no sockets and takes the current time as an argument. A time
// before the latest one seen is replaced by the latest one.
package once
