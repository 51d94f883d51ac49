package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanfall/completion"
	"toucanfall/dialect"
	"toucanfall/fleet"
)

// TestPromptIsChargedByAnUpperBound checks the bound for texts of which a
// byte-level tokenizer makes, at worst, one token of each byte.
func TestPromptIsChargedByAnUpperBound(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"!?!?!?!?!?!?!?!?", "軌道研磨計畫", ""} {
		text = strings.Repeat(text, 100)
		job := completion.Job{Messages: []dialect.Message{{Role: "user", Content: text}}}
		worst := fleet.Tokens(len(text) + len("user"))
		is.True(maxPromptTokens(job, 1) > worst)
	}
}
