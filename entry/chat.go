package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"toucanfall/completion"
	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// chatRequest holds the supported fields of an OpenAI-style request. The field
// model names a route.
type chatRequest struct {
	Model     fleet.RouteID     `json:"model"`
	Messages  []dialect.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

// UnmarshalJSON decodes a request. It fails if the request has no messages or a
// negative max_tokens.
func (r *chatRequest) UnmarshalJSON(b []byte) error {
	type plain chatRequest
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return err
	}
	if len(r.Messages) == 0 {
		return fmt.Errorf("messages must not be empty")
	}
	if r.MaxTokens < 0 {
		return fmt.Errorf("max_tokens must not be negative")
	}
	return nil
}

// chatUsage is the token usage in the OpenAI format.
type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// provenance records the request, configuration and upstream that produced an
// answer.
type provenance struct {
	Request  fleet.RequestID  `json:"request"`
	Route    fleet.RouteID    `json:"route"`
	Model    fleet.ModelID    `json:"model"`
	Adapter  fleet.AdapterID  `json:"adapter,omitempty"`
	Version  string           `json:"version"`
	Upstream fleet.UpstreamID `json:"upstream"`
	Offset   fleet.Offset     `json:"config_offset"`
}

// chatChoice holds a Message in a non-streamed answer and a Delta in a chunk.
type chatChoice struct {
	Index        int              `json:"index"`
	Message      *dialect.Message `json:"message,omitempty"`
	Delta        *dialect.Message `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// chatAnswer is an answer, or one chunk of a streamed answer, in the OpenAI
// format with provenance added.
type chatAnswer struct {
	ID         fleet.RequestID `json:"id"`
	Object     string          `json:"object"`
	Model      fleet.RouteID   `json:"model"`
	Choices    []chatChoice    `json:"choices"`
	Usage      *chatUsage      `json:"usage,omitempty"`
	Provenance *provenance     `json:"toucanfall,omitempty"`
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	var r chatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return bodyFault(err)
	}
	a, err := s.admit(c, r.Model)
	if err != nil {
		return err
	}
	defer a.cancel()
	if a.route.Kind != fleet.RouteDraft {
		return fault.New(fault.InvalidRequest, "route %q is not for drafts", a.route.ID)
	}
	for _, m := range r.Messages {
		if err := a.checkNoSecret(m.Role, m.Content); err != nil {
			return err
		}
	}
	job := completion.Job{Request: a.request, Team: a.key.Team, Route: a.route, Messages: r.Messages, MaxTokens: s.maxTokens(a, r)}
	s.setProvenanceHeaders(c, a)
	return s.runCharged(a, job, func() (completion.Result, error) {
		if r.Stream {
			return s.chatStream(c, a, job)
		}
		return s.chatBuffered(c, a, job)
	})
}

// maxTokens returns the configured limit, or the caller's if that is lower.
func (s *Server) maxTokens(a *admission, r chatRequest) int {
	limit := int(settings.Number(s.State.Setting, s.scope(a), settings.MaxTokens))
	if r.MaxTokens > 0 {
		return min(limit, r.MaxTokens)
	}
	return limit
}

// bufferSink buffers an answer that is not streamed. It implements
// [completion.Sink].
type bufferSink struct {
	text strings.Builder
}

// Token appends the text of a chunk.
func (w *bufferSink) Token(c dialect.Chunk) error {
	w.text.WriteString(c.Text)
	return nil
}

// Flush does nothing: the answer is sent once it is complete.
func (w *bufferSink) Flush() error {
	return nil
}

// chatBuffered runs the job and sends the complete answer as one JSON object.
func (s *Server) chatBuffered(c echo.Context, a *admission, job completion.Job) (completion.Result, error) {
	var sink bufferSink
	result, err := s.Completer.Run(a.ctx, job, &sink)
	if err != nil {
		return result, a.contextFault(err)
	}
	c.Response().Header().Set(HeaderUpstream, string(result.Upstream))
	c.Response().Header().Set(HeaderVersion, result.Version)
	answer := a.lastChunk(result)
	answer.Object = "chat.completion"
	answer.Choices[0].Delta = nil
	answer.Choices[0].Message = &dialect.Message{Role: "assistant", Content: sink.text.String()}
	s.recordAnswered(a, result)
	if err := setWriteDeadline(c); err != nil {
		return result, err
	}
	return result, c.JSON(http.StatusOK, answer)
}

// recordAnswered records that a completion was answered.
func (s *Server) recordAnswered(a *admission, result completion.Result) {
	s.Recorder.Record(event.RequestAnswered, timeline.Fields{
		"request":  string(a.request),
		"upstream": string(result.Upstream),
		"tokens":   fmt.Sprint(result.Tokens),
	})
}

// lastChunk returns the final chunk of an answer, with usage and provenance.
func (a *admission) lastChunk(result completion.Result) chatAnswer {
	stop := "stop"
	return chatAnswer{
		ID:      a.request,
		Object:  "chat.completion.chunk",
		Model:   a.route.ID,
		Choices: []chatChoice{{Delta: &dialect.Message{}, FinishReason: &stop}},
		Usage: &chatUsage{
			PromptTokens:     result.PromptTokens,
			CompletionTokens: result.Tokens,
			TotalTokens:      result.PromptTokens + result.Tokens,
		},
		Provenance: &provenance{
			Request:  a.request,
			Route:    a.route.ID,
			Model:    a.route.Model,
			Adapter:  a.route.Adapter,
			Version:  result.Version,
			Upstream: result.Upstream,
			Offset:   a.offset,
		},
	}
}
