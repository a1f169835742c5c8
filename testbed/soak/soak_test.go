package soak

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// ciDuration is the length of a run in CI: one storm and one calm check.
const ciDuration = 6 * time.Second

// Guards against promises that break under overlapping faults of processes,
// connections, servers, the store and configurations. The seeds of
// testdata/seeds.txt failed once; each has a line on its cause.
func TestSeeds(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "galenadyked")
	build := exec.Command("go", "build", "-o", bin, "./node/cmd/galenadyked")
	build.Dir, build.Stderr = filepath.Join("..", ".."), os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	base := 100
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		base++
		at := base
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			result, err := Run(Config{Seed: seed, Duration: ciDuration, Instances: 4, Dir: t.TempDir(), Bin: bin, Base: at})
			if err != nil {
				t.Fatal(err)
			}
			if result.Served == 0 {
				t.Error("no request was served")
			}
			for _, line := range result.Broken {
				t.Error(line)
			}
			if t.Failed() {
				t.Log(strings.Join(result.Faults, "\n"))
			}
		})
	}
}
