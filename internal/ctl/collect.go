package ctl

import (
	"errors"

	"github.com/jacinthstall/jacinthstall/finding"
)

// findingCollector combines the findings of several files.
type findingCollector struct {
	all finding.Error
}

// add adds the findings in err. It returns any other error.
func (collector *findingCollector) add(err error) error {
	var found *finding.Error
	if !errors.As(err, &found) {
		return err
	}
	collector.all.Findings = append(collector.all.Findings, found.Findings...)
	collector.all.Omitted += found.Omitted
	return nil
}

func (collector *findingCollector) err() error {
	if len(collector.all.Findings) == 0 {
		return nil
	}
	return &collector.all
}
