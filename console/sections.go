package console

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/jacinthstall/jacinthstall/policy"
)

const rowsPerPage = 100

// row is one object as a form shows it.
type row struct {
	Key    string
	Inputs []input
}

// section is the part of the document that one page edits.
type section struct {
	Name, Title string
	Single      bool // One object that cannot be added or removed.

	// rows returns the objects whose key contains the filter, from the given
	// offset on, at most pageRows, and the number of all that match.
	rows func(d *policy.Document, filter string, offset int) ([]row, int)
	// newInputs returns the inputs of a new object.
	newInputs func() []input
	// save returns a copy of the document with an object replaced, or added
	// when the key is empty.
	save func(d *policy.Document, key string, value func(string) string) (*policy.Document, error)
	// remove returns a copy of the document without an object.
	remove func(d *policy.Document, key string) (*policy.Document, error)
}

func allSections() []section {
	return []section{
		listSection("services", "Services", func(d *policy.Document) *[]policy.Service { return &d.Services }, policy.Service.Key),
		listSection("targets", "Targets", func(d *policy.Document) *[]policy.Target { return &d.Targets }, policy.Target.Key),
		listSection("regions", "Regions", func(d *policy.Document) *[]policy.Region { return &d.Regions }, policy.Region.Key),
		listSection("links", "Links and caps", func(d *policy.Document) *[]policy.Link { return &d.Links }, policy.Link.Key),
		listSection("moves", "Moves", func(d *policy.Document) *[]policy.Move { return &d.Moves }, policy.Move.Key),
		listSection("sites", "Sites", func(d *policy.Document) *[]policy.Site { return &d.Sites }, policy.Site.Key),
		listSection("blocks", "Client blocks", func(d *policy.Document) *[]policy.Block { return &d.Blocks }, policy.Block.Key),
		leavingSection(),
		generalSection(),
	}
}

func (s *console) findSection(name string) (section, error) {
	i := slices.IndexFunc(s.sections, func(sec section) bool { return sec.Name == name })
	if i < 0 {
		return section{}, &pageError{status: 404, message: "there is no such page"}
	}
	return s.sections[i], nil
}

// listSection edits a list of objects. Lists are copied before a change,
// because the draft shares them with the published document.
func listSection[T any](name, title string, list func(*policy.Document) *[]T, key func(T) string) section {
	return section{
		Name: name, Title: title,
		rows: func(d *policy.Document, filter string, offset int) ([]row, int) {
			return listRows(*list(d), key, filter, offset)
		},
		newInputs: func() []input { return formInputs(reflect.ValueOf(new(T)).Elem()) },
		save: func(d *policy.Document, old string, value func(string) string) (*policy.Document, error) {
			var object T
			if err := decodeForm(reflect.ValueOf(&object).Elem(), value); err != nil {
				return nil, err
			}
			next, err := replaceObject(*list(d), key, old, object)
			return withList(d, list, next), err
		},
		remove: func(d *policy.Document, old string) (*policy.Document, error) {
			next, err := removeObject(*list(d), key, old)
			return withList(d, list, next), err
		},
	}
}

func withList[T any](d *policy.Document, list func(*policy.Document) *[]T, next []T) *policy.Document {
	out := *d
	*list(&out) = next
	return &out
}

func listRows[T any](list []T, key func(T) string, filter string, offset int) ([]row, int) {
	var rows []row
	matches := 0
	for _, object := range list {
		k := key(object)
		if !strings.Contains(k, filter) {
			continue
		}
		if matches >= offset && len(rows) < rowsPerPage {
			rows = append(rows, row{Key: k, Inputs: formInputs(reflect.ValueOf(object))})
		}
		matches++
	}
	return rows, matches
}

func replaceObject[T any](list []T, key func(T) string, old string, object T) ([]T, error) {
	next := slices.Clone(list)
	i := -1
	if old != "" {
		if i = indexByKey(list, key, old); i < 0 {
			return nil, unknownObjectError(old)
		}
	}
	if same := indexByKey(list, key, key(object)); same >= 0 && same != i {
		return nil, &pageError{status: 409, message: fmt.Sprintf("%q exists already", key(object))}
	}
	if i < 0 {
		return append(next, object), nil
	}
	next[i] = object
	return next, nil
}

func removeObject[T any](list []T, key func(T) string, old string) ([]T, error) {
	i := indexByKey(list, key, old)
	if i < 0 {
		return nil, unknownObjectError(old)
	}
	return slices.Delete(slices.Clone(list), i, i+1), nil
}

func indexByKey[T any](list []T, key func(T) string, k string) int {
	return slices.IndexFunc(list, func(object T) bool { return key(object) == k })
}

func unknownObjectError(key string) error {
	return &pageError{status: 404, message: fmt.Sprintf("there is no %q any more", key)}
}

// instanceForm is the form of a leaving instance.
type instanceForm struct {
	Name string `json:"name"`
}

func leavingSection() section {
	names := func(d *policy.Document) []instanceForm {
		out := make([]instanceForm, len(d.LeavingInstances))
		for i, name := range d.LeavingInstances {
			out[i].Name = name
		}
		return out
	}
	withNames := func(d *policy.Document, next []instanceForm) *policy.Document {
		out := *d
		out.LeavingInstances = make([]string, len(next))
		for i, n := range next {
			out.LeavingInstances[i] = n.Name
		}
		return &out
	}
	key := func(n instanceForm) string { return n.Name }
	return section{
		Name: "instances", Title: "Leaving instances",
		rows: func(d *policy.Document, filter string, offset int) ([]row, int) {
			return listRows(names(d), key, filter, offset)
		},
		newInputs: func() []input { return formInputs(reflect.ValueOf(instanceForm{})) },
		save: func(d *policy.Document, old string, value func(string) string) (*policy.Document, error) {
			next, err := replaceObject(names(d), key, old, instanceForm{Name: strings.TrimSpace(value("name"))})
			return withNames(d, next), err
		},
		remove: func(d *policy.Document, old string) (*policy.Document, error) {
			next, err := removeObject(names(d), key, old)
			return withNames(d, next), err
		},
	}
}

// generalForm is the form of the log level and the timing.
type generalForm struct {
	LogLevel          string `json:"logLevel"`
	LookupTTLMs       int    `json:"lookupTtlMs"`
	DefaultDeadlineMs int    `json:"defaultDeadlineMs"`
	MaxDeadlineMs     int    `json:"maxDeadlineMs"`
}

const generalKey = "general"

func generalSection() section {
	return section{
		Name: generalKey, Title: "Timing and log level", Single: true,
		rows: func(d *policy.Document, _ string, _ int) ([]row, int) {
			g := generalForm{d.LogLevel, d.Timing.LookupTTLMs, d.Timing.DefaultDeadlineMs, d.Timing.MaxDeadlineMs}
			return []row{{Key: generalKey, Inputs: formInputs(reflect.ValueOf(g))}}, 1
		},
		newInputs: func() []input { return nil },
		save: func(d *policy.Document, _ string, value func(string) string) (*policy.Document, error) {
			var g generalForm
			if err := decodeForm(reflect.ValueOf(&g).Elem(), value); err != nil {
				return nil, err
			}
			out := *d
			out.LogLevel = g.LogLevel
			out.Timing = policy.Timing{LookupTTLMs: g.LookupTTLMs, DefaultDeadlineMs: g.DefaultDeadlineMs, MaxDeadlineMs: g.MaxDeadlineMs}
			return &out, nil
		},
		remove: func(*policy.Document, string) (*policy.Document, error) {
			return nil, &pageError{status: 405, message: "the timing cannot be removed"}
		},
	}
}
