package controller

import "firwood.dev/firwood/internal/clock"

// recentHeartbeatWindow is how long ago another member's last heartbeat may be for what it
// says to count as the present.
const recentHeartbeatWindow = 2 * clock.Second

// IsHealthy tells whether users may be routed here. It may be called on any goroutine.
func (controller *Controller) IsHealthy() bool { return !controller.process.isUnavailable.Load() }

// updateAvailability decides whether GET /up is 200, so that users are routed here: not before
// the view is loaded, nor while only this member's requests are refused by the store. In an
// outage of the store every member is refused, and leaving then would only cost time after it.
func (controller *Controller) updateAvailability(now clock.Micros) {
	isReady := controller.view.IsLoaded && len(controller.machineTypes.list) > 0
	isCutOffFromStore := controller.isStoreRefusing(now) && controller.isStoreReachableElsewhere(now)
	controller.process.isUnavailable.Store(!isReady || isCutOffFromStore)
}

// isStoreRefusing tells whether the store has refused this member's requests for a second.
func (controller *Controller) isStoreRefusing(now clock.Micros) bool {
	lastSuccessAt := controller.store.LastSuccessAt()
	return controller.store.LastFailureAt() > lastSuccessAt && now-lastSuccessAt > clock.Second
}

// isStoreReachableElsewhere tells whether another member says that it reaches the store.
func (controller *Controller) isStoreReachableElsewhere(now clock.Micros) bool {
	for _, received := range controller.members.heartbeats {
		if now-received.ReceivedAt < recentHeartbeatWindow && received.Heartbeat.IsStoreReachable {
			return true
		}
	}
	return false
}
