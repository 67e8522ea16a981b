package event

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/notice"
)

var levelNames = map[notice.Level]string{notice.Info: "info", notice.Warn: "warn", notice.Error: "error"}

// docs/EVENTS.md must describe exactly the events that the code defines, with their names and levels, so that operators
// can look up every event.
func TestCatalogueAgreesWithTheCode(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	assert.NilError(t, err)
	rows := make(map[notice.Code]bool)
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 2 {
			continue
		}
		number, err := strconv.Atoi(strings.TrimSpace(cells[1]))
		if err != nil {
			continue
		}
		code := notice.Code(number)
		definition, found := notice.Define(code)
		assert.Assert(t, found, "docs/EVENTS.md lists event %d, which the code does not define", code)
		assert.Assert(t, !rows[code], "event %d has more than one row", code)
		assert.Equal(t, len(cells), 7, "event %d: the row must have five cells", code)
		assert.Equal(t, strings.TrimSpace(cells[2]), definition.Name, "event %d", code)
		assert.Equal(t, strings.TrimSpace(cells[3]), levelNames[definition.Level], "event %d", code)
		assert.Assert(t, strings.TrimSpace(cells[4]) != "" && strings.TrimSpace(cells[5]) != "",
			"event %d has an empty cell", code)
		rows[code] = true
	}
	for _, code := range notice.Codes() {
		assert.Assert(t, rows[code], "event %d is missing from docs/EVENTS.md", code)
	}
}

// docs/EVENTS.md must name the events whose lines may be missing, so that operators conclude nothing from the absence of one.
func TestCatalogueNamesBulkEvents(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(page), "\nBulk events: ")
	assert.Assert(t, found)
	list, _, _ := strings.Cut(rest, "\n")
	var want []string
	for _, code := range notice.Codes() {
		if notice.IsBulk(code) {
			want = append(want, strconv.Itoa(int(code)))
		}
	}
	slices.Sort(want)
	assert.Equal(t, list, strings.Join(want, " "))
}
