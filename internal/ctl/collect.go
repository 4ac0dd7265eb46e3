package ctl

import (
	"errors"

	"github.com/jacinthstall/jacinthstall/finding"
)

// findingCollector joins the findings of several files.
type findingCollector struct {
	all finding.Error
}

// add keeps findings and returns any other error.
func (f *findingCollector) add(err error) error {
	var found *finding.Error
	if !errors.As(err, &found) {
		return err
	}
	f.all.Findings = append(f.all.Findings, found.Findings...)
	f.all.Omitted += found.Omitted
	return nil
}

func (f *findingCollector) err() error {
	if len(f.all.Findings) == 0 {
		return nil
	}
	return &f.all
}
