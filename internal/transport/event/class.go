package event

import (
	"context"
	"log/slog"
)

// bulkKey marks the context of the log record of a bulk event.
type bulkKey struct{}

var bulkContext = context.WithValue(context.Background(), bulkKey{}, true)

// classHandler passes the records of bulk events to one handler and all others to another.
type classHandler struct{ essential, bulk slog.Handler }

// Enabled implements slog.Handler.
func (h *classHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.of(ctx).Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *classHandler) Handle(ctx context.Context, record slog.Record) error {
	return h.of(ctx).Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *classHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &classHandler{essential: h.essential.WithAttrs(attrs), bulk: h.bulk.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *classHandler) WithGroup(name string) slog.Handler {
	return &classHandler{essential: h.essential.WithGroup(name), bulk: h.bulk.WithGroup(name)}
}

func (h *classHandler) of(ctx context.Context) slog.Handler {
	if ctx.Value(bulkKey{}) != nil {
		return h.bulk
	}
	return h.essential
}
