package leader

import (
	"time"

	"firwood.dev/firwood/internal/clock"
)

// background runs work, which may block, on a goroutine of its own. The function that work returns is
// then run on the controller's goroutine, unless the term is closed by then.
func (term *Term) background(work func() (resume func())) {
	go func() {
		resume := work()
		term.host.PostResult(func() {
			if !term.isClosed {
				resume()
			}
		})
	}()
}

// runAfter runs a command on the controller's goroutine after a delay, unless the term is closed
// by then.
func (term *Term) runAfter(delay clock.Micros, command func()) {
	time.AfterFunc(delay.Duration(), func() {
		term.host.PostResult(func() {
			if !term.isClosed {
				command()
			}
		})
	})
}
