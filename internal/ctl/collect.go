package ctl

import (
	"errors"

	"github.com/jacinthstall/jacinthstall/finding"
)

// findings joins the findings of several files.
type findings struct {
	all finding.Error
}

// collect keeps findings and returns any other error.
func (f *findings) collect(err error) error {
	var found *finding.Error
	if !errors.As(err, &found) {
		return err
	}
	f.all.Findings = append(f.all.Findings, found.Findings...)
	f.all.Omitted += found.Omitted
	return nil
}

func (f *findings) err() error {
	if len(f.all.Findings) == 0 {
		return nil
	}
	return &f.all
}
