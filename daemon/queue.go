package daemon

import (
	"context"

	"toucanfall/entry"
	"toucanfall/fleet"
	"toucanfall/internal/shard"
	"toucanfall/queue"
	"toucanfall/settings"
)

// queues holds one request queue per model on this VM.
type queues struct {
	dc     fleet.DataCentre
	lookup settings.Lookup
	models *shard.Map[fleet.ModelID, *queue.Queue]
}

func newQueues(dc fleet.DataCentre, lookup settings.Lookup) *queues {
	return &queues{dc: dc, lookup: lookup, models: shard.New[fleet.ModelID, *queue.Queue]()}
}

// Enter waits for a slot in the queue of the model. The returned function frees
// the slot.
func (q *queues) Enter(ctx context.Context, p entry.QueuedRequest) (func(), error) {
	release, err := q.model(p.Model).Enter(ctx, queue.Item{
		Team:     p.Team,
		Priority: p.Priority,
		Tokens:   p.Tokens,
		Deadline: p.Deadline,
	})
	if err != nil {
		return nil, err
	}
	return func() { release(p.Tokens) }, nil
}

// model returns the queue of a model, configured with its current limits.
func (q *queues) model(id fleet.ModelID) *queue.Queue {
	scope := settings.Scope{DataCentre: q.dc, Model: id}
	cfg := queue.Config{
		Slots:      int(settings.Number(q.lookup, scope, settings.QueueSlots)),
		MaxWaiting: int(settings.Number(q.lookup, scope, settings.QueueWaiting)),
	}
	modelQueue := q.models.GetOrPut(id, func() *queue.Queue { return queue.New(cfg) })
	modelQueue.Configure(cfg)
	return modelQueue
}
