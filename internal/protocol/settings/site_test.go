package settings

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a parser that stops at the first fault.
func TestAllFaultsOfJobSettingsAreReported(t *testing.T) {
	_, err := LoadJobSettings("s.ini", []byte("[entry]\nid = a\nid = b\n[caller]\nlisten = nowhere\n[worker]\nlease_max = 6\n[leader]\nttl = 2h\n[strange]\nx = 1\n"))
	var faults *Error
	assert.Assert(t, errors.As(err, &faults))
	seen := make(map[string]string)
	for _, f := range faults.Faults {
		seen[f.Section+"."+f.Key] = f.Problem
	}
	for _, key := range []string{
		"entry.id", "entry.data_centre", "caller.listen", "health.listen", "platform.store", "worker.lease_max", "leader.ttl",
		"strange.-",
	} {
		assert.Assert(t, seen[key] != "", "%s is missing from %v", key, seen)
	}
}
