package sim

import (
	"sync"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// askEveryMember reads jobs from all members at once, again and again for a while.
func (cluster *Cluster) askEveryMember(duration time.Duration, jobs ...string) {
	var readers sync.WaitGroup
	endAt := time.Now().Add(duration)
	for _, member := range cluster.Members() {
		for _, id := range jobs {
			readers.Go(func() {
				for time.Now().Before(endAt) {
					cluster.GetJob(member, id)
					time.Sleep(3 * time.Millisecond)
				}
			})
		}
	}
	readers.Wait()
}

// Guards against an older answer: a job that names a cancelled job which is no longer cached, or that depends on such a
// job, is cancelled at one controller and still pending at another, which is looking up the cancelled job.
func TestNoMemberShowsOlderStateDuringLookup(t *testing.T) {
	for _, test := range []struct {
		name      string
		readDelay time.Duration
		fault     fake.StoreFault // of one member
	}{{"fast store", 5 * time.Millisecond, fake.StoreHealthy}, {"slow store", 600 * time.Millisecond, fake.StoreHealthy}, {"one member is refused", 100 * time.Millisecond, fake.StoreRequestsRejected}} {
		t.Run(test.name, func(t *testing.T) {
			Run(t, smallCacheOptions(), func(cluster *Cluster) {
				const root, dependent, indirect = 700000, 700001, 700002
				cluster.MustSubmit("n0", Service(root, 1, "a"))
				cluster.MustCancel("n0", JobID(root))
				cluster.finishJobs() // the root is evicted from every cache
				cluster.Store.SetReadDelay(test.readDelay)
				cluster.MustSubmit("n1", dependentArray(dependent, "a", root))
				go cluster.askEveryMember(time.Second, JobID(dependent))
				cluster.MustSubmit("n2", dependentArray(indirect, "a", dependent))
				if test.fault != fake.StoreHealthy {
					cluster.Store.SetFault(cluster.Leader(), test.fault)
				}
				cluster.askEveryMember(2*time.Second, JobID(dependent), JobID(indirect))
				for _, name := range cluster.Members() {
					cluster.Store.SetFault(name, fake.StoreHealthy)
				}
				cluster.Store.SetReadDelay(0)
				for _, name := range cluster.Members() {
					cluster.WaitForState(name, JobID(dependent), wire.JobCancelled, 20*time.Second)
					cluster.WaitForState(name, JobID(indirect), wire.JobCancelled, 20*time.Second)
				}
			})
		})
	}
}
