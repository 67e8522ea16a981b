package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a withdrawn token that is valid again while the token file can't be read.
func TestWithdrawnTokenStaysWithdrawn(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(file, []byte("first\n"), 0o600))
	token, err := newTokenReader(file)
	assert.NilError(t, err)
	assert.Equal(t, token(), "first")
	assert.NilError(t, os.WriteFile(file, []byte("second"), 0o600))
	assert.Equal(t, token(), "second")
	assert.NilError(t, os.WriteFile(file, nil, 0o600))
	assert.Equal(t, token(), "second", "while the file is being replaced")
	assert.NilError(t, os.Remove(file))
	assert.Equal(t, token(), "second")
}
