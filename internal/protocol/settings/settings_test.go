package settings

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func exampleSettings(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../examples/lju-a-1.ini")
	assert.NilError(t, err)
	return string(text)
}

// Guards against an example file that the daemon rejects, and against settings that change when they are written and
// read.
func TestWriteLoadRoundTrip(t *testing.T) {
	first, err := Load("example", []byte(exampleSettings(t)))
	assert.NilError(t, err)
	var text bytes.Buffer
	assert.NilError(t, first.Write(&text))
	second, err := Load("written", text.Bytes())
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}

// Guards against a fault that is accepted, or reported without its section and key.
func TestFaultsNameSectionAndKey(t *testing.T) {
	for _, test := range []struct{ name, from, to, want string }{
		{"unknown key", "seat = 0", "seet = 0", "[entry] seet: unknown key"},
		{"unknown section", "[drain]", "[drian]", "[drian] -: unknown section"},
		{"missing", "id = lju-a-1", "", "[entry] id: is required"},
		{"duplicate", "seats = 2", "seats = 2\nseats = 3", "[entry] seats: is set 2 times"},
		{"range", "seat = 0", "seat = 16", "[entry] seat: \"16\" is not a whole number"},
		{"seat above seats", "seat = 0", "seat = 2", "[entry] seat: 2 is not below seats"},
		{"no unit", "deadline = 60s", "deadline = 60", "[drain] deadline: \"60\" is not a duration"},
		{"host name", "listen = 127.0.0.1:7001", "listen = localhost:7001", "has no IP address"},
		{"port", "listen = 127.0.0.1:7001", "listen = 127.0.0.1:70010", "has no port"},
		{"url", "store_url = http://127.0.0.1:7100", "store_url = 127.0.0.1", "[platform] store_url:"},
		{"data centre", "data_centre = lju-a", "data_centre = lju-c", "is not in [data_centres]"},
		{"plain peers", "listen = 127.0.0.1:7002", "listen = 10.0.0.1:7002", "set the TLS files or plain = true"},
		{"open operators", "listen = 127.0.0.1:7003", "listen = 10.0.0.1:7003", "set token_file or plain = true"},
		{"peer", "127.0.0.1:7052 grz-a", "127.0.0.1:7052", "is not \"IP:port data-centre\""},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(exampleSettings(t), test.from, test.to, 1)
			assert.Assert(t, text != exampleSettings(t), "the example lacks %q", test.from)
			_, err := Load("file.ini", []byte(text))
			assert.ErrorContains(t, err, test.want)
			assert.ErrorContains(t, err, "file.ini: ")
		})
	}
}

// Guards against a parser that stops at the first fault.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	_, err := Load("f", []byte("[entry]\nseat = x\n[log]\nlevel = loud\n"))
	var all *Error
	assert.Assert(t, errors.As(err, &all))
	assert.Assert(t, len(all.Faults) >= 8, "%v", err)
}
