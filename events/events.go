// Package events defines the numbered log events of the system and emits them
// through apex/log. Every log line contains the number and name of its event.
// docs/events.md lists all events.
//
// Number ranges: 100 instance lifecycle, 200 configuration, 300 membership,
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
	Name    string // Unique name in kebab case.
	Level   log.Level
	Message string   // Constant message of the log line.
	Fields  []string // Names of the fields of the log line.
	Action  string   // What an operator should do, or "none".
}

var catalogue = map[int]Event{}

// register adds an event to the catalogue. It panics if the number or name is
// already used, which is a programming error.
func register(e Event) Event {
	for _, other := range catalogue {
		if other.Number == e.Number || other.Name == e.Name {
			panic(fmt.Sprintf("events: %d %s conflicts with %d %s", e.Number, e.Name, other.Number, other.Name))
		}
	}
	catalogue[e.Number] = e
	return e
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	list := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

// Log emits events. It is safe for concurrent use.
type Log struct {
	logger     log.Interface
	handler    *Handler // Nil if the logger has a handler of another type.
	baseFields []byte   // Encoded fields of the logger; unused without handler.
}

// New returns a Log that writes through logger. If the logger's handler is a
// *Handler, EmitFields passes events to it directly and creates no apex/log
// entries.
func New(logger log.Interface) *Log {
	l := &Log{logger: logger}
	switch v := logger.(type) {
	case *log.Logger:
		l.handler, _ = v.Handler.(*Handler)
	case *log.Entry:
		l.handler, _ = v.Logger.Handler.(*Handler)
		l.baseFields = encodedFields(v)
	}
	return l
}

// encodedFields returns the JSON members for the fields of an entry, each with a
// leading comma. It logs a copy of the entry to a temporary handler, because an
// entry merges its fields only when it is passed to a handler.
func encodedFields(entry *log.Entry) []byte {
	var b []byte
	capture := log.HandlerFunc(func(e *log.Entry) error {
		for _, name := range e.Fields.Names() {
			b = append(b, ',')
			b = appendString(b, name)
			b = append(b, ':')
			b = appendValue(b, e.Fields[name])
		}
		return nil
	})
	copied := *entry
	copied.Logger = &log.Logger{Handler: capture, Level: log.DebugLevel}
	copied.Info("")
	return b
}

// Enabled reports whether events of the level are written. If the logger has a
// handler of another type, Enabled returns true and that handler decides.
func (l *Log) Enabled(level log.Level) bool {
	return l.handler == nil || l.handler.Enabled(level)
}

// SetLevel sets the minimum level of written events. It has no effect if the logger
// has a handler of another type.
func (l *Log) SetLevel(level log.Level) {
	if l.handler != nil {
		l.handler.SetLevel(level)
	}
}

// EmitFields writes a log line for an event. fields must be the fields that the
// event lists, in the same order.
func (l *Log) EmitFields(e *Event, fields ...Field) {
	if l.handler != nil {
		if l.handler.Enabled(e.Level) {
			l.handler.emit(e, l.baseFields, fields)
		}
		return
	}
	values := make(log.Fields, len(fields))
	for i := range fields {
		values[fields[i].name] = fields[i].value()
	}
	l.Emit(*e, values)
}

// Emit writes a log line for an event. fields must be the fields that the event
// lists.
func (l *Log) Emit(e Event, fields log.Fields) {
	if !l.Enabled(e.Level) {
		return
	}
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
