package policy

import (
	"slices"

	"github.com/jacinthstall/jacinthstall/finding"
)

// objectKind defines how the objects of one list of a document are identified and
// compared.
type objectKind[T any] struct {
	name  string // JSON name of the list.
	key   func(T) string
	equal func(a, b T) bool
}

var (
	regionKind  = objectKind[Region]{"regions", Region.Key, equalRegions}
	linkKind    = objectKind[Link]{"links", Link.Key, equalValues[Link]}
	siteKind    = objectKind[Site]{"sites", Site.Key, equalSites}
	serviceKind = objectKind[Service]{"services", Service.Key, equalValues[Service]}
	targetKind  = objectKind[Target]{"targets", Target.Key, equalValues[Target]}
	moveKind    = objectKind[Move]{"moves", Move.Key, equalValues[Move]}
	blockKind   = objectKind[Block]{"blocks", Block.Key, equalValues[Block]}
	leavingKind = objectKind[string]{"leavingInstances", func(s string) string { return s }, equalValues[string]}
)

func equalValues[T comparable](a, b T) bool { return a == b }

func equalRegions(a, b Region) bool {
	return a.Name == b.Name && slices.Equal(a.Domains, b.Domains)
}

func equalSites(a, b Site) bool {
	return a.Name == b.Name && a.Domain == b.Domain && slices.Equal(a.Regions, b.Regions)
}

// path returns the path of an object for Change and Conflict, with its key in
// place of its index.
func (kind objectKind[T]) path(object T) string {
	return finding.Pointer(kind.name, kind.key(object))
}

// index returns the indexes of the objects in a list by key.
func (kind objectKind[T]) index(list []T) map[string]int {
	positions := make(map[string]int, len(list))
	for i, object := range list {
		positions[kind.key(object)] = i
	}
	return positions
}

// Key returns the name, which identifies the region in changes.
func (r Region) Key() string { return r.Name }

// Key returns "FROM>TO", which identifies the link in changes.
func (l Link) Key() string { return l.From + ">" + l.To }

// Key returns the name, which identifies the site in changes.
func (s Site) Key() string { return s.Name }

// Key returns the name, which identifies the service in changes.
func (s Service) Key() string { return s.Name }

// Key returns the name, which identifies the target in changes.
func (t Target) Key() string { return t.Name }

// Key returns "SERVICE:FROM>TO", which identifies the move in changes.
func (m Move) Key() string { return m.Service + ":" + m.From + ">" + m.To }

// Key returns the prefix, which identifies the block in changes.
func (b Block) Key() string { return b.Prefix }
