package platformfake

import (
	"math/rand/v2"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// Delays after which a copy of a direct command arrives.
const (
	minCommandCopyDelay = 2 * time.Second
	maxCommandCopyDelay = 12 * time.Second
)

// CommandCopyCounts counts the copies of direct commands that arrived at workers.
type CommandCopyCounts struct {
	Delivered    int
	Refused      int // the worker had a higher fencing token or another incarnation
	StartedAgain int // attempts that a copy started once more
}

// CommandCopyCounts returns the present counts.
func (s *Platform) CommandCopyCounts() CommandCopyCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyCounts
}

// scheduleCopies delivers copies of a direct command that a worker has executed, each after a random delay.
func (s *Platform) scheduleCopies(w *Worker, command scheduler.DirectCommand) {
	for range s.commandCopies {
		delay := minCommandCopyDelay + rand.N(maxCommandCopyDelay-minCommandCopyDelay)
		go func() {
			select {
			case <-s.stop:
			case <-time.After(delay):
				s.deliverCopy(w, command)
			}
		}()
	}
}

// deliverCopy executes a copy of a direct command at a worker. The response is dropped.
func (s *Platform) deliverCopy(w *Worker, command scheduler.DirectCommand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workers[w.Machine.ID] != w {
		return
	}
	outcome, startedAgain := w.ApplyCommandCopy(s.now(), command)
	s.copyCounts.Delivered++
	if outcome == scheduler.Conflict {
		s.copyCounts.Refused++
	}
	s.copyCounts.StartedAgain += len(startedAgain)
}
