package entry

import (
	"context"
	"math"
	"time"

	"toucanfall/completion"
	"toucanfall/fleet"
	"toucanfall/settings"
)

// Limiter charges requests against the token rates of teams. Its errors are
// faults; a rejection carries a retry-after time.
type Limiter interface {
	// Take charges team with n tokens.
	Take(ctx context.Context, team fleet.TeamID, n fleet.Tokens) (Grant, error)
}

// Grant is a charge. Settle must be called once with the number of tokens used,
// which exceeds the charge only if prompt_bytes_per_token is set too high.
type Grant interface {
	// Settle replaces the charge by the tokens that were used.
	Settle(used fleet.Tokens)
}

// QueuedRequest describes a request to the [Queue].
type QueuedRequest struct {
	Request  fleet.RequestID
	Team     fleet.TeamID
	Route    fleet.RouteID
	Model    fleet.ModelID
	Priority fleet.Priority
	Deadline time.Time
	// Tokens is the number of tokens charged.
	Tokens fleet.Tokens
}

// Queue delays requests until there is capacity for them. Its errors are
// faults, or the error of ctx if that ended first; a rejection carries a
// retry-after time. The returned function releases the capacity.
type Queue interface {
	// Enter waits until the request may run, or until ctx ends.
	Enter(ctx context.Context, r QueuedRequest) (release func(), err error)
}

// runCharged charges the team for the job, waits in the queue and calls run. It
// settles the tokens used, also if run fails.
func (s *Server) runCharged(a *admission, job completion.Job, run func() (completion.Result, error)) error {
	bytesPerToken := settings.Number(s.State.Setting, s.scope(a), settings.PromptBytesPerToken)
	promptTokens := maxPromptTokens(job, bytesPerToken)
	charge := promptTokens + fleet.Tokens(job.MaxTokens)
	grant, err := s.Limiter.Take(a.ctx, job.Team, charge)
	if err != nil {
		return a.contextFault(err)
	}
	var result completion.Result
	defer func() { grant.Settle(usedTokens(result, promptTokens)) }()
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
		return a.contextFault(err)
	}
	defer release()
	result, err = run()
	return err
}

// templateOverheadTokens is more than a chat template adds to each message, and
// to the prompt as a whole.
const templateOverheadTokens = 8

// maxPromptTokens returns an upper bound on the tokens of a prompt. A tokenizer
// that falls back to bytes makes at most one token of each byte, so the bound
// always holds if bytesPerToken is 1.
func maxPromptTokens(job completion.Job, bytesPerToken float64) fleet.Tokens {
	n := templateOverheadTokens
	for _, m := range job.Messages {
		n += templateOverheadTokens + int(math.Ceil(float64(len(m.Role)+len(m.Content))/bytesPerToken))
	}
	return fleet.Tokens(n)
}

// usedTokens returns the tokens that an answer used. The prompt counts once an
// engine has accepted it, as promptTokens if no engine reported its length.
func usedTokens(r completion.Result, promptTokens fleet.Tokens) fleet.Tokens {
	switch {
	case r.Upstream == "":
		return 0
	case r.PromptTokens == 0:
		return promptTokens + fleet.Tokens(r.Tokens)
	default:
		return fleet.Tokens(r.PromptTokens + r.Tokens)
	}
}
