package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobreport"
)

// FollowerStatuses returns how far the replicas of the other members lag behind this leader.
func (term *Term) FollowerStatuses(now clock.Micros) []jobreport.FollowerStatus {
	var statuses []jobreport.FollowerStatus
	isInSync := map[string]bool{}
	for _, member := range term.standby.inSync.InSyncMembers() {
		isInSync[member.Name] = true
	}
	for _, other := range term.environment.Config.Peers {
		statuses = append(statuses, jobreport.FollowerStatus{
			Member: other.Member, IsInSync: isInSync[other.Member],
			LagDecisions: term.standby.publisher.LagCount(other.Member), LagMs: milliseconds(term.standby.publisher.LagDuration(other.Member, now)),
		})
	}
	return statuses
}
