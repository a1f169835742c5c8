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

// PolicyBare names the rows of the client without any policy.
const PolicyBare model.Policy = "bare-client"

// bare measures a client that sends each search to one random replica of each
// group by net/http. Its processor time is that of this process, the load
// generator included.
func (o Options) bare(ctx context.Context, groups int) Row {
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
		if stopped := c.Stop(); err == nil && stopped != nil {
			err = fmt.Errorf("stop: %w", stopped)
		}
	}()
	cfg := o.load(c, 100)
	cfg.Entries = []string{"http://127.0.0.1:1"} // not used
	cfg.Rate = o.BareRate
	row.Percent = cfg.Rate / capacity(o.Spec) * 100
	client := newBareClient(c, o.Seed)
	warm := cfg
	warm.Duration = min(o.WarmUp, time.Second) // opens the connections
	if _, err := load.RunFunc(ctx, warm, client.search); err != nil {
		return err
	}
	if err := c.ResetCounts(ctx); err != nil {
		return err
	}
	before, err := proc.CPUTime(os.Getpid())
	if err != nil {
		return err
	}
	if row.Load, err = load.RunFunc(ctx, cfg, client.search); err != nil {
		return err
	}
	after, err := proc.CPUTime(os.Getpid())
	if err != nil {
		return err
	}
	row.CPUMsPerSearch = (after - before).Seconds() * 1000 / float64(max(1, row.Load.Searches.Sent))
	counts, err := c.Counts(ctx)
	if err != nil {
		return err
	}
	row.Targets = totals(counts, row.Load.Extra.SubRequests)
	return nil
}

// bareClient is the client. mu guards rng.
type bareClient struct {
	http   *http.Client
	groups []objects.TargetGroup
	// partitions is the number of partitions of each group.
	partitions int

	mu  sync.Mutex
	rng *rand.Rand
}

func newBareClient(c *cell.Cell, seed uint64) *bareClient {
	const idlePerTarget = 64
	b := &bareClient{
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerTarget}},
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

func (b *bareClient) pick(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.IntN(n)
}

// bareAnswer has the fields of a target's answer that the client needs.
type bareAnswer struct {
	Partitions []uint32        `json:"partitions"`
	Result     json.RawMessage `json:"result"`
}

func (b *bareClient) search(ctx context.Context, _ load.Arrival) (load.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, bareTimeout)
	defer cancel()
	found := make([]int, len(b.groups))
	var all sync.WaitGroup
	for i, g := range b.groups {
		address := g.Targets[b.pick(len(g.Targets))].Address
		all.Go(func() { found[i] = b.ask(ctx, address) })
	}
	all.Wait()
	a := load.Answer{Stats: load.Stats{SubRequests: len(b.groups)}}
	for i := range found {
		a.Coverage.Searched += found[i]
	}
	a.Coverage.Total = len(b.groups) * b.partitions
	return a, nil
}

// bareTimeout bounds a search, so that a lost answer ends.
const bareTimeout = 5 * time.Second

// ask returns the number of partitions that a target searched, 0 for none.
func (b *bareClient) ask(ctx context.Context, address string) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/search", bytes.NewReader([]byte(`{"text":"iroko"}`)))
	if err != nil {
		return 0
	}
	r.Header.Set("X-Snapshot", strconv.Itoa(cell.IndexVersion))
	got, err := b.http.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = got.Body.Close() }()
	raw, err := io.ReadAll(got.Body)
	var a bareAnswer
	if err != nil || got.StatusCode != http.StatusOK || json.Unmarshal(raw, &a) != nil {
		return 0
	}
	return len(a.Partitions)
}
