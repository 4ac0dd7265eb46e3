// Package configsync publishes the policy document and distributes it to all
// entry instances.
//
// A document is split into one core segment and Buckets block segments.
// Segments are stored on the platform under the SHA-256 hash of their content.
// A manifest lists the hashes of all segments and is itself stored under its
// hash. A single head record, replaced by compare-and-swap, contains the
// version, the manifest hash, an operator's Ed25519 signature over both, and
// the most recent deltas. Deltas are not signed: a receiver applies them,
// computes the hash of the resulting manifest and compares it with the signed
// hash, so a delta cannot introduce content that no operator signed.
//
// WatchersPerDomain instances of each failure domain watch the head record and
// push it to the rest of their domain along a relay tree. Heartbeats carry the
// version in force; an instance that receives a higher version fetches the
// missing content from the sender.
//
// Values and messages are limited to kv.MaxValueBytes. A delta inside the head
// record is limited to MaxInlineDelta bytes, and all of them together to
// MaxInlineDeltas bytes. A larger delta is stored as a patch under its hash.
package configsync
