package main

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubearch/jujubearch/internal/protocol/operatorapi"
	"github.com/jujubearch/jujubearch/internal/protocol/problem"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/daemon"
)

// Guards against an exit code that says that a command had no effect when it may have had one, and against the reverse.
func TestExitCodesFollowTheVerdict(t *testing.T) {
	answer := func(status int, v verdict.Verdict) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { problem.New(status, "test", "detail", v).Write(w) }
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		args    []string
		code    int
	}{
		{"refused", answer(http.StatusConflict, verdict.NotRun), []string{"plan", "confirm", "p"}, exitRefused},
		{"unknown", answer(http.StatusGatewayTimeout, verdict.MayHaveRun), []string{"plan", "confirm", "p"}, exitUnknown},
		{"response lost", abort, []string{"plan", "confirm", "p"}, exitUnknown},
		{"response to a read lost", abort, []string{"status"}, exitRefused},
		{"no argument", abort, []string{"plan", "confirm"}, exitUsage},
		{"unknown command", abort, []string{"destroy"}, exitUsage},
		{"unknown output", abort, []string{"status", "-o", "yaml"}, exitUsage},
		{"no file", abort, []string{"intent", "submit", "-f", "/does/not/exist"}, exitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			code := run(append(test.args, "--address", server.URL), &bytes.Buffer{}, &bytes.Buffer{})
			assert.Equal(t, code, test.code)
		})
	}
}

// Guards against a refused connection that is reported as an unknown outcome.
func TestRefusedConnectionHasNoEffect(t *testing.T) {
	server := httptest.NewServer(nil)
	url := server.URL
	server.Close()
	code := run([]string{"plan", "confirm", "p", "--address", url}, &bytes.Buffer{}, &bytes.Buffer{})
	assert.Equal(t, code, exitRefused)
}

// cli runs commands against the entry at an address.
type cli struct {
	t       *testing.T
	address string
}

func (c cli) run(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := run(append(args, "--address", c.address, "--operator", "maja"), &out, &errs)
	return code, out.String(), errs.String()
}

func (c cli) submit(text string) operatorapi.Plan {
	c.t.Helper()
	file := filepath.Join(c.t.TempDir(), "intent.ini")
	assert.NilError(c.t, os.WriteFile(file, []byte(text), 0o600))
	code, out, errs := c.run("intent", "submit", "-f", file, "-o", "json")
	assert.Equal(c.t, code, exitSuccess, errs)
	var plan operatorapi.Plan
	assert.NilError(c.t, json.Unmarshal([]byte(out), &plan))
	return plan
}

// Guards against plan commands that do not work together: submit, show, confirm, confirm again, confirm a stale plan,
// reject, confirm a rejected plan, and list the audit trail of one operator.
func TestPlanCommands(t *testing.T) {
	site, err := daemon.StartDev(slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer site.Close()
	c := cli{t: t, address: "http://" + site.Daemon.OperatorAddress}

	first := c.submit("[team dance]\nweight = 2\n")
	second := c.submit("[team dance]\nweight = 3\n")
	code, out, _ := c.run("plan", "show", string(first.ID))
	assert.Equal(t, code, exitSuccess)
	assert.Assert(t, bytes.Contains([]byte(out), []byte("configure dance: team")), out)
	for range 2 {
		code, out, _ = c.run("plan", "confirm", string(first.ID))
		assert.Equal(t, code, exitSuccess)
		assert.Equal(t, out, "plan "+string(first.ID)+" is in force as version 2\n")
	}
	code, _, errs := c.run("plan", "confirm", string(second.ID))
	assert.Equal(t, code, exitRefused)
	assert.Assert(t, bytes.Contains([]byte(errs), []byte("version 2 by maja: team dance")), errs)
	third := c.submit("[team dance]\nweight = 4\n")
	code, _, _ = c.run("plan", "reject", string(third.ID))
	assert.Equal(t, code, exitSuccess)
	code, _, _ = c.run("plan", "confirm", string(third.ID))
	assert.Equal(t, code, exitRefused)

	code, out, _ = c.run("audit", "--by", "maja", "-o", "json")
	assert.Equal(t, code, exitSuccess)
	var entries []operatorapi.AuditEntry
	assert.NilError(t, json.Unmarshal([]byte(out), &entries))
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Plan, first.ID)
	assert.Equal(t, entries[0].Outcome, "accepted")
	assert.Equal(t, entries[1].Plan, third.ID)
	assert.Equal(t, entries[1].Outcome, "rejected")
}

// Guards against a list of workers that is incomplete.
func TestWorkersAreListed(t *testing.T) {
	site, err := daemon.StartDev(slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer site.Close()
	c := cli{t: t, address: "http://" + site.Daemon.OperatorAddress}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, out, _ := c.run("workers")
		if bytes.Count([]byte(out), []byte("worker-")) == len(site.Workers) {
			return poll.Success()
		}
		return poll.Continue("%s", out)
	}, poll.WithTimeout(10*time.Second))
}
