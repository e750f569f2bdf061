package daemon

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"
)

// TaskGroup runs the tasks of a process until one of them fails or the process is to
// stop, which drains first.
type TaskGroup struct {
	// Context ends when a task has failed or the drain is over.
	Context context.Context

	tasks *errgroup.Group
	stop  context.CancelFunc
}

// NewTaskGroup returns a group without tasks.
func NewTaskGroup() *TaskGroup {
	running, stop := context.WithCancel(context.Background())
	tasks, ctx := errgroup.WithContext(running)
	return &TaskGroup{Context: ctx, tasks: tasks, stop: stop}
}

// Go starts a task; it ends when its context does.
func (g *TaskGroup) Go(task func(ctx context.Context) error) {
	g.tasks.Go(func() error { return task(g.Context) })
}

// Wait drains once ctx ends, stops the tasks and returns the first error that is not
// the stop itself.
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
