package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic, against accepted settings that are incomplete, and against a fault without its section and
// key.
func FuzzLoad(f *testing.F) {
	for _, name := range []string{"testdata/good.ini", "testdata/faulty.ini"} {
		text, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Add([]byte("[entry]\nid = a\nid = b\n[peers]\nb = 1.2.3.4:5 dc\nb = 1.2.3.4:6 dc\n"))
	f.Add([]byte("[entry\n"))
	f.Add([]byte("a\x00 = \xff\n[\xff]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Load("f.ini", text)
		if err == nil {
			assert.Assert(t, s.Entry != "" && s.Seat < s.Seats && s.Regions[s.DataCentre] != "", "%+v", s)
			assert.Assert(t, s.RequestTimeout > 0 && s.DrainDeadline > 0 && s.StoreTimeout > 0, "%+v", s)
			return
		}
		var faults *Error
		assert.Assert(t, errors.As(err, &faults) && len(faults.Faults) > 0)
		for _, fault := range faults.Faults {
			assert.Assert(t, fault.File == "f.ini" && fault.Section != "" && fault.Key != "" && fault.Problem != "")
			assert.Assert(t, !strings.ContainsAny(fault.String(), "\n\r\x00"), "%q", fault.String())
		}
	})
}
