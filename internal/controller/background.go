package controller

import (
	"time"

	"firwood.dev/firwood/internal/clock"
)

// runAfter runs a command on the owner's goroutine after a while.
func (controller *Controller) runAfter(after clock.Micros, command func()) {
	time.AfterFunc(after.Duration(), func() { controller.postResult(command) })
}

// background runs work, which may block, on a goroutine of its own, and what work returns on
// the owner's goroutine, unless the term is closed by then.
func (term *leaderTerm) background(work func() (resume func())) {
	go func() {
		resume := work()
		term.host.PostResult(func() {
			if !term.isClosed {
				resume()
			}
		})
	}()
}
