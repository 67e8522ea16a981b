// Command drill shows cases of the second review: it starts entries as the deploy file does, with stand-ins of the
// platform's store, workers and clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed names.json
var namesText []byte

// names are the names on the wire, by the words used here.
var names = func() map[string]string {
	var n map[string]string
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}()

func name(word string) string {
	n, ok := names[word]
	if !ok {
		panic("no name for " + word)
	}
	return n
}

var (
	began    = time.Now()
	recordMu sync.Mutex
	record   *os.File
	trouble  = os.Getenv("TROUBLE") != "0"
	entries  []*entry
	// workDir holds the settings and logs of the entries.
	workDir string
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the drill as not run if there is an error.
func must(err error) {
	if err != nil {
		note("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		finish(2)
	}
}

var finishOnce sync.Once

func finish(code int) {
	finishOnce.Do(func() {
		for _, e := range entries {
			e.kill()
		}
		if workDir != "" && os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(workDir)
		}
		os.Exit(code)
	})
	select {}
}

// loopback returns a loopback address of this drill's own. Outgoing connections use 127.0.0.1, so that none of them can
// take a port there while a process is restarted.
func loopback(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, number)
}

// entry is one process of the system.
type entry struct {
	id, front, ready string
	settings         string
	log              *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ending  bool
	// kills counts the ends of the process for using too much memory.
	kills int
}

// entryOptions are the settings of a machine of a small deployment.
type entryOptions struct {
	cores    string
	memoryMB int
	linkMbps string
}

// smallMachine is like a machine of the site plesnipar-sched, largeMachine and slowMachine like those of
// plesnipar-sched-grown.
var (
	smallMachine = entryOptions{cores: "0.4", memoryMB: 284, linkMbps: "1000.0"}
	largeMachine = entryOptions{cores: "0.8", memoryMB: 536, linkMbps: "200"}
	slowMachine  = entryOptions{cores: "0.192", memoryMB: 184, linkMbps: "10"}
)

var placeholder = regexp.MustCompile(`\{\{([^{}]+)\}\}`)

// render fills in the settings template of the deploy file.
func render(template string, values map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#Advice\}\}.*?\{\{/Advice\}\}\n?`)
	template = section.ReplaceAllString(template, "")
	return placeholder.ReplaceAllStringFunc(template, func(p string) string {
		value, ok := values[strings.Trim(p, "{}")]
		if !ok {
			must(fmt.Errorf("no value for %s", p))
		}
		return value
	})
}

func newEntry(dir string, number int, storeAddress string, o entryOptions) *entry {
	template, err := os.ReadFile("deploy/entry.ini")
	must(err)
	ip := loopback(1 + number)
	e := &entry{id: fmt.Sprint("edge-", number), front: ip + ":7001", ready: ip + ":7002"}
	text := render(string(template), map[string]string{
		"NodeName": e.id, "Zone": "za", "Ip": ip, "PortRange.0": "7003", "PortRange.1": "7004",
		name("bind-front"): e.front, name("bind-ready"): e.ready, "platform.Address": storeAddress,
		name("hold-max"): "6000", "Bounds.status_s": "120", "Bounds.ConfigApplyMs": "2500",
		"Limits.MemoryMb": strconv.Itoa(o.memoryMB), "Limits.CpuShare": o.cores, "Limits.LinkMbps": o.linkMbps,
	})
	e.settings = filepath.Join(dir, e.id+".ini")
	must(os.WriteFile(e.settings, []byte(text), 0o600))
	e.log, err = os.Create(filepath.Join(dir, e.id+".log"))
	must(err)
	e.start()
	return e
}

func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ending {
		return
	}
	e.process = exec.Command("target/jujubearchd", "serve")
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "JUJUBEARCH_SETTINGS=" + e.settings}
	e.process.Stdout, e.process.Stderr = e.log, e.log
	must(e.process.Start())
	exited, process := make(chan struct{}), e.process
	e.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	note("entry %s starts (process %d)", e.id, process.Process.Pid)
}

func (e *entry) kill() {
	e.mu.Lock()
	e.ending = true
	process, exited := e.process, e.exited
	e.mu.Unlock()
	_ = process.Process.Signal(syscall.SIGKILL)
	<-exited
}

// outage ends the process, as a loss of power does, and starts it again after some time.
func (e *entry) outage(duration time.Duration) {
	e.mu.Lock()
	process, exited := e.process, e.exited
	e.mu.Unlock()
	note("entry %s loses power", e.id)
	_ = process.Process.Signal(syscall.SIGKILL)
	<-exited
	time.Sleep(duration)
	e.start()
}

// residentMB returns the memory of the process.
func (e *entry) residentMB() int {
	e.mu.Lock()
	pid := e.process.Process.Pid
	e.mu.Unlock()
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// limitMemory kills the process whenever it exceeds its memory, and starts it again a second later, as the platform does.
func (e *entry) limitMemory(memoryMB int) {
	for range time.Tick(20 * time.Millisecond) {
		used := e.residentMB()
		if used <= memoryMB {
			continue
		}
		e.mu.Lock()
		process, exited := e.process, e.exited
		e.kills++
		e.mu.Unlock()
		note("entry %s uses %d MB, more than its %d MB, and is killed", e.id, used, memoryMB)
		_ = process.Process.Signal(syscall.SIGKILL)
		<-exited
		time.Sleep(time.Second)
		e.start()
	}
}

const (
	host   = "h1.example"
	prefix = "/q1/"
)

// callTimeout is the time limit of the clients.
const callTimeout = 3 * time.Second

// call sends a request of a client and returns the status, 0 without an answer, and the body. The client states its time
// limit and waits for patience.
func call(e *entry, method, id, body string, patience time.Duration) (int, string) {
	r, err := http.NewRequest(method, "http://"+e.front+prefix+id, strings.NewReader(body))
	must(err)
	r.Host = host
	r.Header.Set("X-Request-Deadline", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	status, text := 0, ""
	if err == nil {
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text = response.StatusCode, string(bytes.TrimSpace(data))
	}
	note("client: %s %s at %s -> %d %.100s", method, id, e.id, status, text)
	return status, text
}

// submit hands a submission in, again at other entries after no answer or an undecided one, and reports whether it was
// accepted.
func submit(id, body string) bool { return submitAt(entries, id, body) }

func submitAt(entries []*entry, id, body string) bool {
	for n := range 5 {
		status, _ := call(entries[n%len(entries)], http.MethodPost, id, body, callTimeout)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// stateOf asks for the state of a submission, at each entry in turn, until there is an answer. It returns "" if none has
// given one.
func stateOf(id string) string {
	for range 3 {
		for _, e := range entries {
			status, text := call(e, http.MethodGet, id, "", callTimeout)
			var body struct{ State string }
			if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
				return body.State
			}
		}
	}
	return ""
}

// awaitState waits for a state of a submission and reports whether it was shown in time.
func awaitState(id, state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if stateOf(id) == state {
			return true
		}
	}
	return false
}

// within waits until a condition holds and reports whether it did in time.
func within(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// startEntries starts the entries and waits until all of them are ready.
func startEntries(dir, storeAddress string, count int, o entryOptions) {
	for range count {
		entries = append(entries, newEntry(dir, len(entries), storeAddress, o))
	}
	for _, e := range entries {
		if !within(20*time.Second, func() bool {
			response, err := http.Get("http://" + e.ready + "/-/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}) {
			must(fmt.Errorf("%s does not become ready", e.id))
		}
	}
}

// manifest returns the operator's manifest with one queue.
func manifest(attempts int) string {
	text, err := json.Marshal(map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r1", "Host": host, "Prefix": prefix, "Service": "s1", "Priority": 0, "Attempts": attempts, "SlackFactor": 3.0,
			"TargetLatencyMs": 1000, "TimeoutMs": 3000,
		}},
		"Services": []any{map[string]any{"Name": "s1", name("guards"): true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	must(err)
	return string(text)
}

// body returns the JSON of a submission.
func body(s spec, steps ...map[string]any) string {
	inner, err := json.Marshal(s)
	must(err)
	text, err := json.Marshal(map[string]any{"Spec": string(inner), "Steps": steps})
	must(err)
	return string(text)
}

// conclude records the outcome of the check and ends the drill.
func conclude(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if broken {
		note("RULE BROKEN: %s", text)
		fmt.Println("broken:", text)
		finish(1)
	}
	note("the rule held: %s", text)
	fmt.Println("held:", text)
	finish(0)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill2 CASE FOLDER")
		os.Exit(2)
	}
	scenario, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	note("case %s, trouble %t", os.Args[1], trouble)
	dir, err := os.MkdirTemp("", "drill2-")
	must(err)
	workDir = dir
	time.AfterFunc(110*time.Second, func() {
		note("the case takes too long")
		finish(2)
	})
	scenario(dir)
}
