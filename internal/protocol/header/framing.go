package header

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// Errors in the framing of HTTP/1.1 messages. A proxy and an upstream may interpret such a message differently and so
// see different requests (request smuggling), so the message is rejected.
const (
	ErrLengthConflict          = errors.ConstError("more than one Content-Length, or one together with Transfer-Encoding")
	ErrInvalidContentLength    = errors.ConstError("Content-Length is not a decimal number")
	ErrInvalidTransferEncoding = errors.ConstError("Transfer-Encoding is not exactly chunked")
	ErrMalformedHeader         = errors.ConstError("a header line is malformed")
	ErrMalformedChunk          = errors.ConstError("a chunk is malformed")
	ErrLineTooLong             = errors.ConstError("a line is too long")
)

// framingState is the part of a message that the next bytes belong to.
type framingState uint8

const (
	inStartLine framingState = iota
	inHeaders
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailers
	// passThrough ends the check. It follows the connection preface of HTTP/2.
	passThrough
)

// MaxFramingLineBytes bounds a line outside of bodies and chunk data. It is above the usual bound on all headers, so
// that net/http rejects long headers first, with status 431.
const MaxFramingLineBytes = 1 << 20

// FramingChecker checks a stream of HTTP/1.1 requests for body lengths that parsers may interpret differently. net/http
// accepts repeated equal Content-Length headers, and Content-Length together with chunked, and drops them;
// FramingChecker rejects both. The zero value is ready for a new connection.
type FramingChecker struct {
	state framingState
	line  []byte
	// length is the value of Content-Length; it is valid only if hasLength is set.
	length    int64
	hasLength bool
	chunked   bool
	// remaining is the number of bytes that remain of the body or chunk.
	remaining int64
	// started is set once a request has begun. The connection preface of HTTP/2 is accepted only before that.
	started bool
}

// Check processes the next bytes of the stream. After an error the connection must not be used further.
func (f *FramingChecker) Check(p []byte) error {
	for len(p) > 0 {
		switch f.state {
		case passThrough:
			return nil
		case inBody, inChunkData:
			n := min(int64(len(p)), f.remaining)
			p = p[n:]
			f.remaining -= n
			if f.remaining == 0 {
				f.finishData()
			}
		default:
			rest, err := f.readLine(p)
			if err != nil {
				return err
			}
			p = rest
		}
	}
	return nil
}

func (f *FramingChecker) finishData() {
	if f.state == inChunkData {
		f.state = inChunkEnd
		return
	}
	f.reset()
}

func (f *FramingChecker) reset() {
	*f = FramingChecker{line: f.line[:0], started: f.started}
}

// readLine adds bytes to the current line and processes the line when it is complete. It returns the bytes after the
// line.
func (f *FramingChecker) readLine(p []byte) ([]byte, error) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		f.line = append(f.line, p...)
		if len(f.line) > MaxFramingLineBytes {
			return nil, ErrLineTooLong
		}
		return nil, nil
	}
	line := p[:end]
	if len(f.line) > 0 {
		f.line = append(f.line, line...)
		line = f.line
	}
	f.line = f.line[:0]
	return p[end+1:], f.processLine(bytes.TrimSuffix(line, []byte("\r")))
}

func (f *FramingChecker) processLine(line []byte) error {
	switch f.state {
	case inStartLine:
		return f.processStartLine(line)
	case inHeaders:
		return f.processHeaderLine(line)
	case inChunkSize:
		return f.processChunkSize(line)
	case inChunkEnd:
		if len(line) > 0 {
			return ErrMalformedChunk
		}
		f.state = inChunkSize
	case inTrailers:
		if len(line) == 0 {
			f.reset()
		}
	case inBody, inChunkData, passThrough:
	}
	return nil
}

func (f *FramingChecker) processStartLine(line []byte) error {
	switch {
	case len(line) == 0:
		// Empty lines before a request are allowed (RFC 9112, section 2.2).
	case !f.started && bytes.Equal(line, []byte("PRI * HTTP/2.0")):
		f.state = passThrough
	default:
		f.state, f.started = inHeaders, true
	}
	return nil
}

func (f *FramingChecker) processHeaderLine(line []byte) error {
	if len(line) == 0 {
		return f.finishHeaders()
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r") || bytes.IndexByte(value, '\r') >= 0 {
		return ErrMalformedHeader
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return f.processContentLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return ErrInvalidTransferEncoding
		}
		f.chunked = true
	}
	return nil
}

func (f *FramingChecker) processContentLength(value []byte) error {
	if f.hasLength {
		return ErrLengthConflict
	}
	if len(value) == 0 {
		return ErrInvalidContentLength
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return ErrInvalidContentLength
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return ErrInvalidContentLength
	}
	f.length, f.hasLength = n, true
	return nil
}

func (f *FramingChecker) finishHeaders() error {
	switch {
	case f.chunked && f.hasLength:
		return ErrLengthConflict
	case f.chunked:
		f.state = inChunkSize
	case f.length > 0:
		f.state, f.remaining = inBody, f.length
	default:
		f.reset()
	}
	return nil
}

// maxChunkDigits bounds the hexadecimal digits of a chunk size, so that the size fits in 63 bits.
const maxChunkDigits = 15

func (f *FramingChecker) processChunkSize(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > maxChunkDigits {
		return ErrMalformedChunk
	}
	n, err := strconv.ParseUint(string(size), 16, 63)
	if err != nil || size[0] == '+' {
		return ErrMalformedChunk
	}
	f.remaining = int64(n)
	f.state = inChunkData
	if n == 0 {
		f.state = inTrailers
	}
	return nil
}
