package objects

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "replace the expected findings in testdata/broken by the actual ones")

// Every set under testdata/broken must be refused with exactly the findings in
// the text file beside it. This guards against faults that are missed, reported
// twice, or reported without file, object, field or remedy.
func TestBrokenSets(t *testing.T) {
	expectations, err := filepath.Glob("testdata/broken/*.txt")
	if err != nil || len(expectations) < 12 {
		t.Fatalf("got %d files of expected findings, want at least 12 (error: %v)", len(expectations), err)
	}
	for _, expectation := range expectations {
		path := strings.TrimSuffix(expectation, ".txt")
		t.Run(filepath.Base(path), func(t *testing.T) {
			if _, err := os.Stat(path); err != nil {
				path += ".json"
			}
			source, findings := Load([]string{path})
			if len(findings) == 0 || source != nil {
				t.Fatal("got no findings or a source, want findings and no source")
			}
			got := (&CheckError{findings}).Error() + "\n"
			if *update {
				if err := os.WriteFile(expectation, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(expectation)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}
