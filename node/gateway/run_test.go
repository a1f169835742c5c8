package gateway

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a settings file that can't be read and is logged at each check, every 2 s:
// the same error counts as a change once.
func TestUnreadableSettingsAreReportedOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	f := &settingsFile{path: path}
	for i, want := range []bool{true, false, false} {
		if _, findings, changed := f.read(); len(findings) == 0 || changed != want {
			t.Errorf("read %d: got %d findings, changed %v, want a finding and %v", i, len(findings), changed, want)
		}
	}
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, changed := f.read(); !changed {
		t.Error("a file that can be read again is not a change")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, _, changed := f.read(); !changed {
		t.Error("a new error after a readable file is not a change")
	}
}
