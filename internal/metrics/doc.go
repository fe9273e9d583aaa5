// Package metrics holds the metrics of a controller and encodes them in the Prometheus text format.
// Counters and histograms may be changed on any goroutine. Gauges are set from a Status only when the
// metrics are read, so that no work is done for them between reads.
package metrics
