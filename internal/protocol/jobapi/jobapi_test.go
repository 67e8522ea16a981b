package jobapi

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// Guards against a panic, and against an invalid job that is accepted.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"payload":"x","steps":[{"tasks":2,"cpu_millis":500,"memory_bytes":1024,"estimate":"900ms"}]}`))
	f.Add([]byte(`{"steps":[{"tasks":2,"after":[0]}]}`))
	f.Add([]byte(`{"steps":[{"tasks":2,"estimate":"900"}]}`))
	f.Add([]byte(`{"steps":[{"tasks":1}],"schedule":{"times":0}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		j, err := Decode(text, "a", "q", time.UnixMilli(0))
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrInvalid), "%v", err)
			return
		}
		assert.Equal(t, j.Validate(), "")
	})
}

// Guards against errors that do not name the faulty field of a job.
func TestErrorsNameInvalidField(t *testing.T) {
	for text, want := range map[string]string{
		`{"steps":[]}`: "steps: at least one step is required: invalid job",
		`{"steps":[{"tasks":1},{"tasks":1,"after":[1]}]}`: "steps[1]: waits for step 1, which is not an earlier one: invalid job",
		`{"steps":[{"tasks":1,"cpu":5}]}`:                 `json: unknown field "cpu": invalid job`,
	} {
		_, err := Decode([]byte(text), "a", "q", time.UnixMilli(0))
		assert.Error(t, err, want)
	}
}

// Guards against a job that is accepted although the key of its progress is too long for the store: it would never end.
func TestIDsWithTooLongKeysAreRefused(t *testing.T) {
	text := []byte(`{"steps":[{"tasks":1}]}`)
	longest := strings.Repeat("a", job.MaxIDBytes)
	_, err := Decode(text, job.ID(longest), "q", time.UnixMilli(0))
	assert.NilError(t, err)
	assert.Assert(t, len(job.ProgressKey(job.ID(longest))) <= job.MaxKeyBytes && len(job.Key(job.ID(longest))) <= job.MaxKeyBytes)
	_, err = Decode(text, job.ID(longest+"a"), "q", time.UnixMilli(0))
	assert.ErrorIs(t, err, ErrInvalid)
}
