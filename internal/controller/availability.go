package controller

import "firwood.dev/firwood/internal/clock"

// recentHeartbeatWindow is how old another member's last heartbeat may be for its contents to count as
// current.
const recentHeartbeatWindow = 2 * clock.Second

// IsHealthy reports whether users may be routed to this member. It may be called on any goroutine.
func (controller *Controller) IsHealthy() bool { return !controller.process.isUnavailable.Load() }

// updateAvailability decides whether GET /up replies 200, so that users are routed to this member. Users are
// not routed to a member before its view and its machine types are loaded, nor while the store fails for this
// member but not for others. In an outage the store fails for every member. Reporting unavailability then
// would only delay users' requests after the outage.
func (controller *Controller) updateAvailability(now clock.Micros) {
	isReady := controller.view.IsLoaded && len(controller.machineTypes.list) > 0
	isCutOffFromStore := controller.isStoreFailing(now) && controller.isStoreReachableElsewhere(now)
	controller.process.isUnavailable.Store(!isReady || isCutOffFromStore)
}

// isStoreFailing reports whether this member's requests to the store have failed for more than a second.
func (controller *Controller) isStoreFailing(now clock.Micros) bool {
	lastSuccessAt := controller.store.LastSuccessAt()
	return controller.store.LastFailureAt() > lastSuccessAt && now-lastSuccessAt > clock.Second
}

// isStoreReachableElsewhere reports whether another member's recent heartbeat says that it reaches the store.
func (controller *Controller) isStoreReachableElsewhere(now clock.Micros) bool {
	for _, received := range controller.members.heartbeats {
		if now-received.ReceivedAt < recentHeartbeatWindow && received.Heartbeat.IsStoreReachable {
			return true
		}
	}
	return false
}
