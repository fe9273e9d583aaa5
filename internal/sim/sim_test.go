package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// The usual way, with no trouble: work of all kinds runs, ends and is told of by
// every controller.
func TestQuietDay(t *testing.T) {
	Run(t, Options{}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 5, "a"))
		c.MustSubmit("n1", Service(2, 2, "a"))
		c.UntilOn("req-000002", 2)
		for _, n := range c.Nodes() {
			c.UntilStage(n, "req-000001", wire.JobDone, 3*time.Minute)
			c.UntilStage(n, "req-000002", wire.JobRunning, time.Minute)
		}
		c.MustCancel("n2", "req-000002")
		c.UntilOn("req-000002", 0)
	})
}
