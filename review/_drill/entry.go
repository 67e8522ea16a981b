package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort = 18161
	readyPort = 18167
	peerPort  = 17720
	operPort  = 17721
	// firstHost is the last byte of the first loopback address.
	firstHost = 10
)

// entry is one entry VM: it runs the project's daemon with the command of the deploy file.
type entry struct {
	rec        *record
	name, zone string
	host       string
	file       string
	log        *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// settings fills in the template of the deploy file, as the platform does.
func (e *entry) settings(template, store string) string {
	text := regexp.MustCompile(`(?s)\{\{#Advice\}\}.*?\{\{/Advice\}\}\n`).ReplaceAllString(template, "")
	values := map[string]string{
		"{{NodeName}}": e.name, "{{Zone}}": e.zone, "{{Ip}}": e.host,
		wire["front"]: fmt.Sprintf("%s:%d", e.host, frontPort), wire["ready"]: fmt.Sprintf("%s:%d", e.host, readyPort),
		"{{PortRange.0}}": fmt.Sprint(peerPort), "{{PortRange.1}}": fmt.Sprint(operPort),
		"{{platform.Address}}": store, wire["leaseMax"]: fmt.Sprint(holdMax.Milliseconds()), "{{Bounds.status_s}}": "120",
		"{{Bounds.ConfigApplyMs}}": "2500", "{{Limits.MemoryMb}}": "284", "{{Limits.CpuShare}}": "0.4",
		"{{Limits.LinkMbps}}": "1000",
	}
	for placeholder, value := range values {
		text = strings.ReplaceAll(text, placeholder, value)
	}
	return text
}

func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	command := exec.Command("target/jujubearchd", "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JUJUBEARCH_SETTINGS=" + e.file}
	command.Stdout, command.Stderr = e.log, e.log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	e.process, e.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(e.exited)
	e.rec.add("entry %s starts, process %d", e.name, command.Process.Pid)
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.add("entry %s gets signal %v", e.name, s)
	_ = e.process.Process.Signal(s)
}

// wait waits until the process has ended and reports whether it has.
func (e *entry) wait(limit time.Duration) bool {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// site is a small installation.
type site struct {
	rec     *record
	dir     string
	store   *store
	fleet   *fleet
	entries []*entry
	client  *http.Client
}

func newSite(rec *record, service string, guards bool) (*site, error) {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, store: newStore(rec), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	s.fleet = newFleet(rec, s.store, service, guards)
	return s, nil
}

// addEntries starts entries, each with a loopback address and a way to the store of its own.
func (s *site) addEntries(zones ...string) error {
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return err
	}
	for i, zone := range zones {
		e := &entry{rec: s.rec, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone}
		if e.host, err = s.fleet.hosts.next(); err != nil {
			return err
		}
		address, err := s.store.serve(e.name)
		if err != nil {
			return err
		}
		e.file = filepath.Join(s.dir, e.name+".ini")
		if err := os.WriteFile(e.file, []byte(e.settings(string(template), address)), 0o600); err != nil {
			return err
		}
		if e.log, err = os.Create(filepath.Join(s.dir, e.name+".log")); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// hosts gives out loopback addresses of their own.
type hosts struct {
	prefix string
	used   int
}

// next returns the next address. The first three bytes are chosen so that the ports are free there.
func (h *hosts) next() (string, error) {
	for n := 0; h.prefix == "" && n < 200; n++ {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 1+time.Now().Nanosecond()/1000%250)
		free := true
		for _, port := range []int{frontPort, workerPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, firstHost, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			h.prefix = prefix
		}
	}
	if h.prefix == "" {
		return "", fmt.Errorf("no free loopback address")
	}
	h.used++
	return fmt.Sprintf("%s.%d", h.prefix, firstHost+h.used-1), nil
}

// awaitReady waits until all entries are ready and one leads.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		ready := 0
		for _, e := range s.entries {
			response, err := s.client.Get(fmt.Sprintf("http://%s:%d/-/ready", e.host, readyPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.entries) && s.store.leader() != "" {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entries are not ready")
}

func (s *site) entryNamed(name string) *entry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// close ends all processes that the case has started.
func (s *site) close() {
	for _, e := range s.entries {
		e.signal(syscall.SIGKILL)
		e.wait(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// queueHost is the host of all queues.
const queueHost = "queues.example"

// route is a queue in the manifest.
type route struct {
	Name, Host, Prefix, Service string
	Priority, Attempts          int
	SlackFactor                 float64
	TargetLatencyMs             float64
}

// configure writes the manifest, as the operator does.
func (s *site) configure(version int, routes ...route) {
	s.store.put(wire["config"], map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": s.fleet.service, wire["guards"]: s.fleet.guards}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	s.rec.add("operator: version %d is confirmed, with %d routes", version, len(routes))
}

// send makes one call of a requester and returns the status, 0 if there was no answer.
func (s *site) send(e *entry, method, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", e.host, frontPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Deadline", "3000")
	client := *s.client
	client.Timeout = 3 * time.Second
	response, err := client.Do(request)
	if err != nil {
		s.rec.add("requester: %s %s at %s: no answer", method, path, e.name)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	s.rec.add("requester: %s %s at %s: %d %s", method, path, e.name, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// submit hands a submission in at one entry after the other until it is accepted.
func (s *site) submit(path string, body []byte) bool {
	for attempt := range 20 {
		if status, _ := s.send(s.entries[attempt%len(s.entries)], http.MethodPost, path, body); status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission at each entry in turn until one answers.
func (s *site) state(path string) string {
	for _, e := range s.entries {
		if status, text := s.send(e, http.MethodGet, path, nil); status == http.StatusOK || status == http.StatusGone {
			return text
		}
	}
	return ""
}
