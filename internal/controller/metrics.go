package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/server"
)

// SendMetrics replies with the metrics of this process as text. It may be called on any goroutine. Only
// the status is collected on the controller's goroutine; another one encodes the text.
func (controller *Controller) SendMetrics(reply *server.Reply) {
	controller.postUserRequest(reply, func() {
		status := controller.metricsStatus(clock.Now())
		go controller.replyMetrics(&status, reply)
	})
}

func (controller *Controller) replyMetrics(status *metrics.Status, reply *server.Reply) {
	text, err := controller.metrics.Encode(status)
	if err != nil {
		reply.Send(500, server.ErrorBody(err.Error()), 0)
		return
	}
	reply.SendText(metrics.ContentType, text)
}

// metricsStatus returns the values of the metrics that depend on the controller's state at this instant.
func (controller *Controller) metricsStatus(now clock.Micros) metrics.Status {
	_, token := controller.elector.LockHolder()
	status := metrics.Status{Token: token, ViewRevision: controller.view.Revision}
	if controller.watches.readSentAt != 0 {
		status.ViewAge = max(now-controller.watches.readSentAt, 0)
	}
	if controller.term == nil {
		return status
	}
	status.Token = controller.term.IssuedToken()
	status.IsLeader = controller.isEntitled()
	status.EntitledFor = max(controller.elector.EntitledUntil()-now, 0)
	status.LeaderStatus = controller.term.MetricsStatus(now)
	return status
}
