package entry

import (
	"context"
	"sync"
)

// tasks are goroutines that handle events of peers and end with the instance.
type tasks struct {
	ctx    context.Context // Ends when the tasks must end.
	cancel context.CancelFunc

	mu      sync.Mutex // Protects stopped and calls of running.Add.
	stopped bool
	running sync.WaitGroup
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

// start runs a function in a goroutine. It has no effect after stop.
func (t *tasks) start(run func(context.Context)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.running.Go(func() { run(t.ctx) })
	}
}

// stop cancels the tasks and waits for their end.
func (t *tasks) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.cancel()
	t.running.Wait()
}
