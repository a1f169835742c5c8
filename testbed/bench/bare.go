package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/ctl/load"
	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/proc"
)

// PolicyBare stands for the client without any policy in the results.
const PolicyBare model.Policy = "bare-client"

// measureBare measures a client without any policy, which sends each search to
// one random replica of each group with net/http. The processor time in the row
// is the processor time of this process, including the load generator.
func (o Options) measureBare(ctx context.Context, groups int) Row {
	row := Row{Policy: PolicyBare, Scenario: Steady, Groups: groups}
	if err := o.runBare(ctx, groups, &row); err != nil {
		row.Error = err.Error()
	}
	return row
}

func (o Options) runBare(ctx context.Context, groups int, row *Row) (err error) {
	spec := o.Spec
	spec.Instances, spec.Groups, spec.BookingTargets = 0, groups, 0
	spec.Dir = filepath.Join(o.Logs, fmt.Sprintf("bare-%d", groups))
	if err := os.MkdirAll(spec.Dir, 0o700); err != nil {
		return err
	}
	c, err := cell.Start(ctx, spec)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := c.Stop(); err == nil && stopErr != nil {
			err = fmt.Errorf("stop: %w", stopErr)
		}
	}()
	cfg := o.loadConfig(c, 100)
	cfg.Entries = []string{"http://127.0.0.1:1"} // not called, but Entries must not be empty
	cfg.Rate = o.BareRate
	row.Percent = cfg.Rate / capacity(o.Spec) * 100
	client := newBareClient(c, o.Seed)
	warmUp := cfg
	warmUp.Duration = min(o.WarmUp, time.Second) // opens the connections
	if _, err := load.RunFunc(ctx, warmUp, client.search); err != nil {
		return err
	}
	if err := c.ResetCounts(ctx); err != nil {
		return err
	}
	cpuBefore, err := proc.CPUTime(os.Getpid())
	if err != nil {
		return err
	}
	if row.Load, err = load.RunFunc(ctx, cfg, client.search); err != nil {
		return err
	}
	cpuAfter, err := proc.CPUTime(os.Getpid())
	if err != nil {
		return err
	}
	row.CPUMsPerSearch = (cpuAfter - cpuBefore).Seconds() * 1000 / float64(max(1, row.Load.Searches.Sent))
	counts, err := c.Counts(ctx)
	if err != nil {
		return err
	}
	row.Targets = totals(counts, row.Load.Extra.SubRequests)
	return nil
}

// bareClient is a client without any policy. mu guards rng.
type bareClient struct {
	http   *http.Client
	groups []objects.TargetGroup
	// partitions is the number of partitions in each group.
	partitions int

	mu  sync.Mutex
	rng *rand.Rand
}

func newBareClient(c *cell.Cell, seed uint64) *bareClient {
	const maxIdleConnsPerTarget = 64
	b := &bareClient{
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerTarget}},
		rng:  rand.New(rand.NewPCG(seed, 0)),

		partitions: c.Spec.Partitions,
	}
	for _, g := range c.Set.Groups {
		if g.Service == cell.SearchRoute {
			b.groups = append(b.groups, g)
		}
	}
	return b
}

// randomIndex returns a random number from 0 to n-1.
func (b *bareClient) randomIndex(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.IntN(n)
}

// bareAnswer holds the fields that the client decodes from a target's answer.
type bareAnswer struct {
	Partitions []uint32        `json:"partitions"`
	Result     json.RawMessage `json:"result"`
}

// search sends one sub-request to each group. A failed sub-request lowers the
// coverage of the answer.
func (b *bareClient) search(ctx context.Context, _ load.Arrival) (load.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, bareSearchTimeout)
	defer cancel()
	searched := make([]int, len(b.groups))
	var wg sync.WaitGroup
	for i, g := range b.groups {
		address := g.Targets[b.randomIndex(len(g.Targets))].Address
		wg.Go(func() { searched[i] = b.searchTarget(ctx, address) })
	}
	wg.Wait()
	a := load.Answer{Stats: load.SearchStats{SubRequests: len(b.groups)}}
	for i := range searched {
		a.Coverage.Searched += searched[i]
	}
	a.Coverage.Total = len(b.groups) * b.partitions
	return a, nil
}

// bareSearchTimeout is the maximum duration of a search, so that a search with
// a lost answer ends.
const bareSearchTimeout = 5 * time.Second

// searchTarget sends a search to a target and returns the number of partitions
// searched, 0 on any failure.
func (b *bareClient) searchTarget(ctx context.Context, address string) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/search", bytes.NewReader([]byte(`{"text":"iroko"}`)))
	if err != nil {
		return 0
	}
	r.Header.Set("X-Snapshot", strconv.Itoa(cell.IndexVersion))
	resp, err := b.http.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	var a bareAnswer
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &a) != nil {
		return 0
	}
	return len(a.Partitions)
}
