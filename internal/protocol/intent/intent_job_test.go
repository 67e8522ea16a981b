package intent

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an intent file that rejects job ids in the form in which "jujubearch tasks" prints them.
func TestCancelAndResumeTakeJobIDs(t *testing.T) {
	intents, err := Parse([]byte("[cancel scoring-2026-12-04@2]\n[resume sorting@17]\n"))
	assert.NilError(t, err)
	assert.Equal(t, intents[0].Name, "scoring-2026-12-04@2")
	_, err = Parse([]byte("[cancel scoring]\n"))
	assert.ErrorContains(t, err, "is not a job id")
	_, err = Parse([]byte("[team dance@2]\n"))
	assert.ErrorContains(t, err, "must be lower-case letters")
}
