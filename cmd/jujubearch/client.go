package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/jujubearch/jujubearch/internal/protocol/operatorapi"
	"github.com/jujubearch/jujubearch/internal/protocol/problem"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// defaultTimeout is the default of the flag --timeout. It is short, so that an entry that does not answer is noticed
// within seconds.
const defaultTimeout = 5 * time.Second

// options holds the flags that all commands share.
type options struct {
	address   string
	tokenFile string
	operator  string
	output    string
	timeout   time.Duration
}

func (o *options) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&o.address, "address", envOr("JUJUBEARCH_ADDRESS", "http://127.0.0.1:7003"), "operators' listener of any entry")
	flags.StringVar(&o.tokenFile, "token-file", os.Getenv("JUJUBEARCH_TOKEN_FILE"), "file with the operators' token")
	flags.StringVar(&o.operator, "operator", currentUser(), "name written to the audit trail")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit for the entry's answer")
	flags.StringVarP(&o.output, "output", "o", "text", "output format: text or json")
}

func (o *options) validate() error {
	if o.output != "text" && o.output != "json" {
		return errors.Errorf("output %q is neither text nor json", o.output)
	}
	if o.timeout <= 0 {
		return errors.Errorf("timeout %v is not above 0", o.timeout)
	}
	return nil
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// callError is the error of a failed request to an entry, with the exit code that tells whether it may have taken
// effect.
type callError struct {
	exitCode int
	message  string
}

// Error implements error.
func (e *callError) Error() string { return e.message }

// call sends a request and returns the body of a successful response. The outcome of a failed GET is never unknown,
// since it can't have changed anything.
func (o *options) call(method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, strings.TrimSuffix(o.address, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set(operatorapi.HeaderOperator, o.operator)
	if err := o.authorize(request); err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: o.timeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, &callError{exitCode: exitCodeFor(method, transportVerdict(err)), message: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, &callError{exitCode: exitCodeFor(method, verdict.MayHaveRun), message: err.Error()}
	}
	if response.StatusCode == http.StatusOK {
		return content, nil
	}
	return nil, responseError(method, response.StatusCode, content)
}

func (o *options) authorize(request *http.Request) error {
	if o.tokenFile == "" {
		return nil
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return errors.Annotate(err, "token file")
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	return nil
}

func responseError(method string, status int, content []byte) error {
	var p problem.Problem
	if err := json.Unmarshal(content, &p); err != nil || p.Verdict == "" {
		message := fmt.Sprintf("status %d: %s", status, bytes.TrimSpace(content))
		return &callError{exitCode: exitCodeFor(method, verdict.MayHaveRun), message: message}
	}
	v := verdict.MayHaveRun
	if p.Verdict == verdict.NotRun.String() {
		v = verdict.NotRun
	}
	return &callError{exitCode: exitCodeFor(method, v), message: fmt.Sprintf("%s (%s): %s", p.Title, p.Verdict, p.Detail)}
}

func transportVerdict(err error) verdict.Verdict {
	if strings.Contains(err.Error(), "dial ") {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func exitCodeFor(method string, v verdict.Verdict) int {
	if method == http.MethodGet || v == verdict.NotRun {
		return exitRefused
	}
	return exitUnknown
}

// printResponse writes a response as received if the output format is JSON, and otherwise decodes it and passes it to
// text.
func printResponse[T any](o *options, out io.Writer, content []byte, text func(io.Writer, T)) error {
	if o.output == "json" {
		_, err := out.Write(content)
		return errors.Trace(err)
	}
	var value T
	if err := json.Unmarshal(content, &value); err != nil {
		return errors.Annotate(err, "response")
	}
	text(out, value)
	return nil
}
