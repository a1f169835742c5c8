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

// ciDuration is the duration of a run in CI, enough for one phase of faults and
// one check.
const ciDuration = 6 * time.Second

// Guards against violated guarantees under overlapping faults of processes,
// connections, servers and the store, and under changes of the configuration.
// The seeds in testdata/seeds.txt have failed before; the comment of each seed
// names the cause.
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
	octet := 100
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		octet++
		addressOctet := octet
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			result, err := Run(Config{Seed: seed, Duration: ciDuration, Instances: 4, Dir: t.TempDir(), Bin: bin, AddressOctet: addressOctet})
			if err != nil {
				t.Fatal(err)
			}
			if result.Served == 0 {
				t.Error("got no served request, want at least 1")
			}
			for _, line := range result.Violations {
				t.Error(line)
			}
			if t.Failed() {
				t.Log(strings.Join(result.Faults, "\n"))
			}
		})
	}
}
