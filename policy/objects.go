package policy

import (
	"slices"

	"github.com/jacinthstall/jacinthstall/finding"
)

// kind tells how to name and compare the objects of one list of a document.
type kind[T any] struct {
	name  string // JSON name of the list.
	key   func(T) string
	equal func(a, b T) bool
}

var (
	regionKind  = kind[Region]{"regions", func(r Region) string { return r.Name }, equalRegions}
	linkKind    = kind[Link]{"links", func(l Link) string { return l.From + ">" + l.To }, same[Link]}
	siteKind    = kind[Site]{"sites", func(s Site) string { return s.Name }, equalSites}
	serviceKind = kind[Service]{"services", func(s Service) string { return s.Name }, same[Service]}
	targetKind  = kind[Target]{"targets", func(t Target) string { return t.Name }, same[Target]}
	moveKind    = kind[Move]{"moves", func(m Move) string { return m.Service + ":" + m.From + ">" + m.To }, same[Move]}
	blockKind   = kind[Block]{"blocks", func(b Block) string { return b.Prefix }, same[Block]}
	leavingKind = kind[string]{"leavingInstances", func(s string) string { return s }, same[string]}
)

func same[T comparable](a, b T) bool { return a == b }

func equalRegions(a, b Region) bool {
	return a.Name == b.Name && slices.Equal(a.Domains, b.Domains)
}

func equalSites(a, b Site) bool {
	return a.Name == b.Name && a.Domain == b.Domain && slices.Equal(a.Regions, b.Regions)
}

// path returns the path of an object, with its name in place of its index.
func (k kind[T]) path(object T) string {
	return finding.Pointer(k.name, k.key(object))
}

// index returns the positions of the objects by key.
func (k kind[T]) index(list []T) map[string]int {
	m := make(map[string]int, len(list))
	for i, object := range list {
		m[k.key(object)] = i
	}
	return m
}
