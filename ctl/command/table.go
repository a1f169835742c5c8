package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// table prints rows of cells in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, header ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.row(header...)
	return t
}

func (t *table) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = makePrintable(cell)
	}
	fmt.Fprintln(t.w, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
}

func (t *table) flush() error { return t.w.Flush() }

// makePrintable replaces non-printable characters, which an answer may contain, by
// spaces.
func makePrintable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return ' '
	}, s)
}

// shorten cuts s to limit runes. A text that was cut ends in "...".
func shorten(s string, limit int) string {
	if runes := []rune(s); len(runes) > limit {
		return string(runes[:limit-3]) + "..."
	}
	return s
}
