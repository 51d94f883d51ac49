package entry

import (
	"context"
	"time"

	"toucanfall/draft"
	"toucanfall/fleet"
)

// Limiter charges teams for tokens. Its refusals are faults that say when to
// come back.
type Limiter interface {
	Take(ctx context.Context, team fleet.TeamID, n fleet.Tokens) (Grant, error)
}

// Grant is a charge that is settled once. What was used may be above the charge
// if the estimate of the prompt was too low.
type Grant interface {
	Settle(used fleet.Tokens)
}

// Place describes a request to the queue.
type Place struct {
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
	Enter(ctx context.Context, p Place) (release func(), err error)
}

// charged runs a draft after it was charged for and has its turn, and settles
// what it used, also if it failed.
func (s *Server) charged(a *admission, job draft.Job, run func() (draft.Result, error)) error {
	prompt := promptEstimate(job)
	charge := prompt + fleet.Tokens(job.MaxTokens)
	grant, err := s.Limiter.Take(a.ctx, job.Team, charge)
	if err != nil {
		return a.explain(err)
	}
	var result draft.Result
	defer func() { grant.Settle(usedTokens(result, prompt)) }()
	deadline, _ := a.ctx.Deadline()
	release, err := s.Queue.Enter(a.ctx, Place{
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

// bytesPerToken is below what any usual tokenizer needs for a text.
const bytesPerToken = 2

// promptEstimate bounds the tokens of a prompt from above.
func promptEstimate(job draft.Job) fleet.Tokens {
	n := 0
	for _, m := range job.Messages {
		n += 1 + (len(m.Role)+len(m.Content)+bytesPerToken-1)/bytesPerToken
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
