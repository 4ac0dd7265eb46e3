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

// register adds an event to the catalogue. It panics on a number or name that
// is taken, since that is a fault in the program.
func register(e Event) Event {
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

// Log emits events. It is safe for concurrent use.
type Log struct {
	logger     log.Interface
	handler    *Handler // Nil when the logger has another handler.
	baseFields []byte   // Encoded fields of the logger, when there is a handler.
}

// New returns a Log that writes through logger. When the logger's handler is a
// *Handler, EmitFields encodes lines without apex's entries.
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

// encodedFields returns the fields of an entry, each with a leading comma. An
// entry shows its fields only to a handler.
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

// Enabled reports whether events of the level are written. It is true when
// the logger has another handler, which then decides.
func (l *Log) Enabled(level log.Level) bool {
	return l.handler == nil || l.handler.Enabled(level)
}

// SetLevel changes the lowest level that is written. It has no effect when the
// logger has another handler.
func (l *Log) SetLevel(level log.Level) {
	if l.handler != nil {
		l.handler.SetLevel(level)
	}
}

// EmitFields writes one line for an event. Fields are those that the event
// lists, in its order.
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

// Emit writes one line for an event. Fields are those that the event lists.
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
