package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy with the bandwidth of a machine's link. It can be cut like a network path: bytes on open connections are held up and arrive after the cut, also
// those of connections that their sender has closed meanwhile. Connections that are opened during the cut carry nothing.
type link struct {
	address, target string

	// bytesPerSecond bounds each direction; 0 means no bound.
	bytesPerSecond float64

	mu      sync.Mutex
	blocked bool
	// free is when each direction is free again.
	free [2]time.Time
}

const (
	toTarget = iota
	fromTarget
)

// mbps is a megabit per second in bytes per second.
const mbps = 1e6 / 8

func newLink(target string, bytesPerSecond float64) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l := &link{address: listener.Addr().String(), target: target, bytesPerSecond: bytesPerSecond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l
}

func (l *link) cut(blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = blocked
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked
}

func (l *link) awaitPath() {
	for l.isCut() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *link) serve(conn net.Conn) {
	if l.isCut() {
		l.awaitPath()
		_ = conn.Close()
		return
	}
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(target, conn, toTarget) })
	copies.Go(func() { l.copy(conn, target, fromTarget) })
	copies.Wait()
	_ = conn.Close()
	_ = target.Close()
}

// awaitBandwidth waits until a number of bytes has passed. All connections share the bandwidth.
func (l *link) awaitBandwidth(direction, bytes int) {
	if l.bytesPerSecond == 0 || bytes == 0 {
		return
	}
	l.mu.Lock()
	begin := time.Now()
	if l.free[direction].After(begin) {
		begin = l.free[direction]
	}
	end := begin.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	l.free[direction] = end
	l.mu.Unlock()
	time.Sleep(time.Until(end))
}

// chunk is the size of the parts in which connections take turns.
const chunk = 4 << 10

// copy passes on what arrives, and then the end of the stream.
func (l *link) copy(to, from net.Conn, direction int) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		l.awaitBandwidth(direction, n)
		l.awaitPath()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
