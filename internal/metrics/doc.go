// Package metrics has what a controller tells about itself in Prometheus' text format. Counters and
// histograms may be changed on any goroutine. Gauges are set from a Status when the metrics are read,
// so that nothing is computed for them in between.
package metrics
