package events

import "github.com/apex/log"

// Events of the links between regions.
var (
	LinkRateBorrowed = register(Event{Number: 800, Name: "link-rate-borrowed", Level: log.DebugLevel,
		Message: "rate on a link borrowed from a peer", Fields: []string{"from", "to", "peer", "bytesPerSecond"},
		Action: "none"})
	LinkRateLent = register(Event{Number: 801, Name: "link-rate-lent", Level: log.DebugLevel,
		Message: "rate on a link lent to a peer", Fields: []string{"from", "to", "peer", "bytesPerSecond"},
		Action: "none"})
	LinkShareChanged = register(Event{Number: 802, Name: "link-share-changed", Level: log.InfoLevel,
		Message: "share of a link's cap changed", Fields: []string{"from", "to", "bytesPerSecond", "tableVersion"},
		Action: "none"})
	LinkRefused = register(Event{Number: 803, Name: "link-refused", Level: log.WarnLevel,
		Message: "traffic refused because of the cap of a link", Fields: []string{"from", "to", "bytes", "reason"},
		Action: "look for a move that is too large for the link, or raise its cap"})
)
