// Package configsync publishes the operators' document and distributes it to
// all entry instances.
//
// A document is split into a core segment and Buckets block segments. Segments
// are stored on the platform under the SHA-256 hash of their content. A
// manifest lists the hashes of all segments and is itself stored under its
// hash. One head record, replaced by compare-and-swap, names the version and
// the manifest hash, carries an operator's Ed25519 signature over both, and
// repeats the latest deltas. Deltas are not signed: a receiver applies them,
// computes the hash of the resulting manifest and compares it with the signed
// one, so that a delta cannot introduce content that no operator signed.
//
// Two instances of each failure domain watch the head record and push it
// through their domain along a tree. Heartbeats carry versions; an instance
// that is behind fetches what it misses from the sender.
//
// Limits: values and messages hold at most platform.MaxValueBytes; a delta
// inside the head record holds at most MaxInlineDelta bytes, and all of them
// MaxInlineDeltas bytes. A larger delta is stored as a patch under its hash.
package configsync
