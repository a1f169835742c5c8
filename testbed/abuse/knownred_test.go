package abuse

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// skipKnownRed skips a test that KNOWN-RED.txt lists in a line "Skipped: NAME MEASURED", unless
// the environment variable GALENADYKE_RUN_KNOWN_RED is set.
func skipKnownRed(t *testing.T) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "KNOWN-RED.txt"))
	if err != nil || os.Getenv("GALENADYKE_RUN_KNOWN_RED") != "" {
		return
	}
	if slices.ContainsFunc(strings.Split(string(raw), "\n"), func(line string) bool {
		rest, listed := strings.CutPrefix(strings.TrimSpace(line), "Skipped: ")
		name, _, _ := strings.Cut(rest, " ")
		return listed && name == t.Name()
	}) {
		t.Skip("listed in KNOWN-RED.txt; GALENADYKE_RUN_KNOWN_RED=1 runs it")
	}
}
