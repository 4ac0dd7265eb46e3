// Package events defines the numbered log events of the system and emits them
// through apex/log. Every log line carries the number and name of its event;
// docs/events.md lists them all.
//
// Number ranges: 100 life of an instance, 200 configuration, 300 membership,
// 400 routing and placement, 500 requests, 600 at-most-once records, 700
// quarantine, 800 links between regions, 900 operators and platform.
package events

import (
	"fmt"
	"sort"

	"github.com/apex/log"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Name    string // Unique, in kebab case.
	Level   log.Level
	Message string   // Constant text of the line.
	Fields  []string // Names of the fields that the line carries.
	Action  string   // What an operator should do; "none" when nothing.
}

var catalogue = map[int]Event{}

// define adds an event to the catalogue. It panics on a number or name that
// is taken, since that is a fault in the program.
func define(e Event) Event {
	for _, other := range catalogue {
		if other.Number == e.Number || other.Name == e.Name {
			panic(fmt.Sprintf("events: %d %s clashes with %d %s", e.Number, e.Name, other.Number, other.Name))
		}
	}
	catalogue[e.Number] = e
	return e
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	list := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

// Log emits events.
type Log struct {
	logger log.Interface
}

// New returns a Log that writes through logger.
func New(logger log.Interface) *Log {
	return &Log{logger: logger}
}

// Emit writes one line for an event. Fields are those that the event lists.
func (l *Log) Emit(e Event, fields log.Fields) {
	entry := l.logger.WithFields(fields).WithField("event", e.Number).WithField("name", e.Name)
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Message)
	case log.InfoLevel:
		entry.Info(e.Message)
	case log.WarnLevel:
		entry.Warn(e.Message)
	default:
		entry.Error(e.Message)
	}
}
