package daemon

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"
)

// TaskGroup runs the tasks of a process until one of them fails or the process is stopped. A
// process that is stopped drains first; one that fails does not.
type TaskGroup struct {
	// Context is cancelled when a task has failed or the drain has finished.
	Context context.Context

	tasks *errgroup.Group
	stop  context.CancelFunc
}

// NewTaskGroup returns a task group without tasks.
func NewTaskGroup() *TaskGroup {
	parent, stop := context.WithCancel(context.Background())
	tasks, ctx := errgroup.WithContext(parent)
	return &TaskGroup{Context: ctx, tasks: tasks, stop: stop}
}

// Go starts a task, which must return when its context is cancelled.
func (g *TaskGroup) Go(task func(ctx context.Context) error) {
	g.tasks.Go(func() error { return task(g.Context) })
}

// Wait waits until ctx is cancelled or a task fails. When ctx is cancelled it drains and then stops
// the tasks. It returns the first error of a task, or nil if that error is context.Canceled.
func (g *TaskGroup) Wait(ctx context.Context, drain func(ctx context.Context)) error {
	g.tasks.Go(func() error {
		select {
		case <-ctx.Done():
			drain(g.Context)
			g.stop()
		case <-g.Context.Done():
		}
		return nil
	})
	err := g.tasks.Wait()
	g.stop()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
