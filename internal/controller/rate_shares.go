package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/rateshare"
)

// applyRateShares sets this member's shares of the rates of the store and the cloud, according to
// whether it leads.
func (controller *Controller) applyRateShares() {
	shares := rateshare.FollowerShares(len(controller.cfg.Peers))
	if controller.elector.Phase() == election.Leader {
		shares = rateshare.LeaderShares(len(controller.cfg.Peers))
		controller.storeUse.shares.BeginTerm()
	}
	controller.store.SetRateShare(shares.Store)
	controller.cloud.SetRateShare(shares.Cloud)
}

// adjustRateShare lets the leader use the part of the store's write rate that the others leave unused.
func (controller *Controller) adjustRateShare(now clock.Micros) {
	if len(controller.cfg.Peers) == 0 {
		return
	}
	share, hasChanged := controller.storeUse.shares.Adjust(now, rateshare.Load{
		Written: controller.store.ChangesWritten(), Backlog: controller.store.BacklogDuration(), ChangesPerSecond: controller.cfg.Deployment.Store.Effective().WriteRPS,
	})
	if hasChanged {
		controller.store.SetWriteRateShare(share)
	}
}
