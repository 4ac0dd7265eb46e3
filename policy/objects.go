package policy

import (
	"slices"

	"github.com/jacinthstall/jacinthstall/finding"
)

// objectKind tells how to name and compare the objects of one list of a document.
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

// path returns the path of an object, with its name in place of its index.
func (k objectKind[T]) path(object T) string {
	return finding.Pointer(k.name, k.key(object))
}

// index returns the positions of the objects by key.
func (k objectKind[T]) index(list []T) map[string]int {
	m := make(map[string]int, len(list))
	for i, object := range list {
		m[k.key(object)] = i
	}
	return m
}

// Key returns the name by which changes refer to the region.
func (r Region) Key() string { return r.Name }

// Key returns "FROM>TO", by which changes refer to the link.
func (l Link) Key() string { return l.From + ">" + l.To }

// Key returns the name by which changes refer to the site.
func (s Site) Key() string { return s.Name }

// Key returns the name by which changes refer to the service.
func (s Service) Key() string { return s.Name }

// Key returns the name by which changes refer to the target.
func (t Target) Key() string { return t.Name }

// Key returns "SERVICE:FROM>TO", by which changes refer to the move.
func (m Move) Key() string { return m.Service + ":" + m.From + ">" + m.To }

// Key returns the prefix, by which changes refer to the block.
func (b Block) Key() string { return b.Prefix }
