// Package metrics names the metrics of an entry instance, keeps them in a
// go-metrics registry and writes them in the Prometheus text format.
//
// Counters only rise. Gauges are current values. Histograms are in
// microseconds over a uniform sample of SampleSize values.
package metrics

import (
	"io"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	gometrics "github.com/rcrowley/go-metrics"
)

// SampleSize is the number of values that a histogram keeps.
const SampleSize = 1028

// namePrefix starts the name of every exported metric.
const namePrefix = "jacinthstall_"

var quantiles = []float64{0.5, 0.9, 0.99}

// Set is the metrics of one instance.
type Set struct {
	registry gometrics.Registry

	Requests       gometrics.Counter // Requests taken from callers.
	Answered       gometrics.Counter // Requests answered by a target.
	Refused        gometrics.Counter // Requests refused without execution.
	UnknownOutcome gometrics.Counter // Requests that may have been executed.
	Retries        gometrics.Counter // Attempts after the first.
	Lookups        gometrics.Counter // Look-ups answered.
	Heartbeats     gometrics.Counter // Heartbeats sent.
	PlatformCalls  gometrics.Counter // Calls to the platform.
	InFlight       gometrics.Gauge   // Requests in flight.
	ConfigVersion  gometrics.Gauge   // Version of the document in force.
	Latency        gometrics.Histogram
	QueueWait      gometrics.Histogram
}

// New returns a set with all values at zero.
func New() *Set {
	s := &Set{registry: gometrics.NewRegistry()}
	for name, c := range map[string]*gometrics.Counter{
		"requests_total":          &s.Requests,
		"requests_answered_total": &s.Answered,
		"requests_refused_total":  &s.Refused,
		"requests_unknown_total":  &s.UnknownOutcome,
		"retries_total":           &s.Retries,
		"lookups_total":           &s.Lookups,
		"heartbeats_total":        &s.Heartbeats,
		"platform_calls_total":    &s.PlatformCalls,
	} {
		*c = gometrics.NewRegisteredCounter(name, s.registry)
	}
	s.InFlight = gometrics.NewRegisteredGauge("requests_in_flight", s.registry)
	s.ConfigVersion = gometrics.NewRegisteredGauge("config_version", s.registry)
	s.Latency = gometrics.NewRegisteredHistogram("request_microseconds", s.registry, gometrics.NewUniformSample(SampleSize))
	s.QueueWait = gometrics.NewRegisteredHistogram("queue_wait_microseconds", s.registry, gometrics.NewUniformSample(SampleSize))
	return s
}

// Write writes all metrics in the Prometheus text format, sorted by name.
// Every metric carries the label instance.
func (s *Set) Write(w io.Writer, instance string) error {
	return WriteRegistry(w, s.registry, instance)
}

// WriteRegistry writes the metrics of a registry like Set.Write.
func WriteRegistry(w io.Writer, registry gometrics.Registry, instance string) error {
	var families []*dto.MetricFamily
	registry.Each(func(name string, m any) {
		if f := newFamily(namePrefix+name, instance, m); f != nil {
			families = append(families, f)
		}
	})
	sort.Slice(families, func(i, j int) bool { return families[i].GetName() < families[j].GetName() })
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return err
		}
	}
	return nil
}

func newFamily(name, instance string, m any) *dto.MetricFamily {
	labelName := "instance"
	metric := &dto.Metric{Label: []*dto.LabelPair{{Name: &labelName, Value: &instance}}}
	f := &dto.MetricFamily{Name: &name, Metric: []*dto.Metric{metric}}
	help := strings.ReplaceAll(strings.TrimPrefix(name, namePrefix), "_", " ")
	f.Help = &help
	switch m := m.(type) {
	case gometrics.Counter:
		value := float64(m.Count())
		metric.Counter = &dto.Counter{Value: &value}
		f.Type = dto.MetricType_COUNTER.Enum()
	case gometrics.Gauge:
		value := float64(m.Value())
		metric.Gauge = &dto.Gauge{Value: &value}
		f.Type = dto.MetricType_GAUGE.Enum()
	case gometrics.Histogram:
		metric.Summary = newSummary(m.Snapshot())
		f.Type = dto.MetricType_SUMMARY.Enum()
	default:
		return nil
	}
	return f
}

func newSummary(h gometrics.Histogram) *dto.Summary {
	count, sum := uint64(h.Count()), float64(h.Sum())
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, value := range h.Percentiles(quantiles) {
		q, v := quantiles[i], value
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &q, Value: &v})
	}
	return s
}
