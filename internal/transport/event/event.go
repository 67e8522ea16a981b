// Package event writes the numbered events of package notice to a log/slog logger. Each log line carries the number and
// the name of its event. AsyncWriter keeps a slow log output from blocking the process,
// and the lines of bulk events from displacing others.
package event

import (
	"context"
	"io"
	"log/slog"

	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// NewLogger returns a logger. The level is debug, info, warn or error, and info if it is invalid; the format is text,
// or JSON for any other value.
func NewLogger(w io.Writer, level, format string) *slog.Logger {
	return slog.New(newHandler(w, level, format))
}

func newHandler(w io.Writer, level, format string) slog.Handler {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: l}
	if format == "text" {
		return slog.NewTextHandler(w, options)
	}
	return slog.NewJSONHandler(w, options)
}

// Log writes an event with its number, name and attributes.
func Log(logger *slog.Logger, code notice.Code, attrs ...notice.Attr) {
	definition, ok := notice.Define(code)
	if !ok {
		definition = notice.Definition{Name: "undefined", Level: notice.Error, Text: "undefined event"}
	}
	fields := []slog.Attr{slog.Int("event", int(code)), slog.String("name", definition.Name)}
	for _, a := range attrs {
		fields = append(fields, slog.Any(a.Key, a.Value))
	}
	ctx := context.Background()
	if notice.IsBulk(code) {
		ctx = bulkContext
	}
	logger.LogAttrs(ctx, slogLevel(definition.Level), definition.Text, fields...)
}

// slogLevel converts the level of an event.
func slogLevel(l notice.Level) slog.Level {
	switch l {
	case notice.Warn:
		return slog.LevelWarn
	case notice.Error:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}
