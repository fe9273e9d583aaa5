package controller

import (
	"slices"

	"firwood.dev/firwood/internal/delegation"
)

// applyConstraints applies newer renewal constraints from the view.
func (controller *Controller) applyConstraints(constraints delegation.Constraints, version uint64) {
	controller.delegation.unconfirmedConstraints = nil
	if controller.term != nil {
		controller.term.ObserveConstraints(constraints, version)
	}
}

// mayConstrainZone reports whether this member has recorded, or may have recorded, that it renews no
// leases in a zone. A member that has not may still act as delegate there, since a leader that reaches
// no machine of a zone may itself be cut off from the zone.
func (controller *Controller) mayConstrainZone(zone string) bool {
	if controller.term != nil && controller.term.MayConstrainZone(zone) || controller.delegation.unconfirmedConstraints[zone] {
		return true
	}
	return slices.Contains(controller.view.Constraints.Zones[zone].KnownBy, controller.cfg.Member)
}
