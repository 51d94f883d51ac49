package entry

import (
	"context"
	"math"
	"time"

	"toucanfall/draft"
	"toucanfall/fleet"
	"toucanfall/settings"
)

// Limiter charges teams for tokens. Its refusals are faults that say when to
// come back.
type Limiter interface {
	Take(ctx context.Context, team fleet.TeamID, n fleet.Tokens) (Grant, error)
}

// Grant is a charge that is settled once. What was used may be above the charge
// only if prompt_bytes_per_token is set too high.
type Grant interface {
	Settle(used fleet.Tokens)
}

// Place describes a request to the queue.
type QueuedRequest struct {
	Request  fleet.RequestID
	Team     fleet.TeamID
	Route    fleet.RouteID
	Model    fleet.ModelID
	Priority fleet.Priority
	Deadline time.Time
	// Tokens is the charge.
	Tokens fleet.Tokens
}

// Queue holds requests until their turn. Its refusals are faults that say when
// to come back. The release ends the turn.
type Queue interface {
	Enter(ctx context.Context, p QueuedRequest) (release func(), err error)
}

// charged runs a draft after it was charged for and has its turn, and settles
// what it used, also if it failed.
func (s *Server) charged(a *admission, job draft.Job, run func() (draft.Result, error)) error {
	perToken := settings.Number(s.State.Setting, s.scope(a), settings.PromptBytesPerToken)
	prompt := promptBound(job, perToken)
	charge := prompt + fleet.Tokens(job.MaxTokens)
	grant, err := s.Limiter.Take(a.ctx, job.Team, charge)
	if err != nil {
		return a.explain(err)
	}
	var result draft.Result
	defer func() { grant.Settle(usedTokens(result, prompt)) }()
	deadline, _ := a.ctx.Deadline()
	release, err := s.Queue.Enter(a.ctx, QueuedRequest{
		Request:  job.Request,
		Team:     job.Team,
		Route:    job.Route.ID,
		Model:    job.Route.Model,
		Priority: job.Route.Priority,
		Deadline: deadline,
		Tokens:   charge,
	})
	if err != nil {
		return a.explain(err)
	}
	defer release()
	result, err = run()
	return err
}

// templateTokens is more than a chat template adds to a message, and to a prompt.
const templateTokens = 8

// promptBound bounds the tokens of a prompt from above. A tokenizer that falls
// back to bytes makes at most one token of each byte.
func promptBound(job draft.Job, bytesPerToken float64) fleet.Tokens {
	n := templateTokens
	for _, m := range job.Messages {
		n += templateTokens + int(math.Ceil(float64(len(m.Role)+len(m.Content))/bytesPerToken))
	}
	return fleet.Tokens(n)
}

// usedTokens counts what an answer used. A prompt counts once an engine has
// taken it, even if none said how long it was.
func usedTokens(r draft.Result, prompt fleet.Tokens) fleet.Tokens {
	switch {
	case r.Upstream == "":
		return 0
	case r.PromptTokens == 0:
		return prompt + fleet.Tokens(r.Tokens)
	default:
		return fleet.Tokens(r.PromptTokens + r.Tokens)
	}
}
