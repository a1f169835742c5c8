package cell

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"galenadyke.dev/core/objects"
	"galenadyke.dev/testbed/target"
)

// IndexVersion is the version of the index that targets hold at the start.
const IndexVersion = 7

// layout returns the settings of one target process for each place.
func (s *Spec) layout() map[string][]target.Config {
	byPlace := make(map[string][]target.Config)
	seed := s.Seed
	add := func(group string, number int, place int, partitions []uint32) {
		t := s.Target
		seed++
		t.Seed = seed
		t.Name = fmt.Sprintf("%s-%c", group, 'a'+number)
		if number >= 26 {
			t.Name = fmt.Sprintf("%s-%d", group, number)
		}
		t.Slots, t.Connections = s.Slots, s.Connections
		// Each target has a loopback address of its own; the kernel chooses
		// the port.
		name := s.Places[place]
		t.Address = fmt.Sprintf("127.%d.%d.%d:0", s.network, place+1, len(byPlace[name])+1)
		if partitions != nil {
			t.Versions = []target.Version{{Version: IndexVersion, Total: s.Groups * s.Partitions, Partitions: partitions}}
		}
		byPlace[name] = append(byPlace[name], t)
	}
	for g := range s.Groups {
		partitions := make([]uint32, s.Partitions)
		for i := range partitions {
			partitions[i] = uint32(g*s.Partitions + i)
		}
		for r := range s.Replicas {
			add(groupName(g), r, (g+r)%len(s.Places), partitions)
		}
	}
	for b := range s.BookingTargets {
		add(BookingRoute, b, b%len(s.Places), nil)
	}
	return byPlace
}

func groupName(g int) string { return fmt.Sprintf("%s-%02d", SearchRoute, g+1) }

// set returns the objects of the cell for targets at the given addresses.
func (s *Spec) set(byPlace map[string][]target.Config, addresses map[string]string) *objects.Set {
	groups := make(map[string]*objects.TargetGroup)
	for _, place := range s.Places {
		for _, t := range byPlace[place] {
			name := t.Name[:lastDash(t.Name)]
			g := groups[name]
			if g == nil {
				g = &objects.TargetGroup{Name: name, Service: SearchRoute, ConnectTime: t.ConnectTime.D()}
				if name == BookingRoute {
					g.Service = BookingRoute
				}
				groups[name] = g
			}
			g.Targets = append(g.Targets, objects.Target{
				Name: t.Name, Address: addresses[t.Name], Place: place,
				Slots: t.Slots, Connections: t.Connections,
			})
		}
	}
	set := &objects.Set{Limits: objects.DefaultLimits()}
	for _, place := range s.Places {
		set.Places = append(set.Places, objects.Place{Name: place, Region: "lagos"})
	}
	search := objects.Route{Name: SearchRoute, Kind: objects.RouteSearch}
	for g := range s.Groups {
		search.Groups = append(search.Groups, groupName(g))
		set.Groups = append(set.Groups, *groups[groupName(g)])
	}
	set.Routes = append(set.Routes, search)
	if g := groups[BookingRoute]; g != nil {
		set.Groups = append(set.Groups, *g)
		set.Routes = append(set.Routes, objects.Route{Name: BookingRoute, Kind: objects.RouteBooking, Groups: []string{BookingRoute}})
	}
	set.Orders = []objects.Order{{Name: orderName, Steps: []objects.Step{
		{Action: objects.StepLeave, Place: s.Places[0]},
		{Action: objects.StepReturn, Place: s.Places[0]},
	}}}
	return set
}

func lastDash(name string) int {
	for i := len(name) - 1; i > 0; i-- {
		if name[i] == '-' {
			return i
		}
	}
	return len(name)
}

// startTimeout bounds the start of one process.
const startTimeout = 10 * time.Second

// The second numbers of the loopback addresses. Each cell takes the next one,
// and each program starts elsewhere, so that a port that the kernel has chosen
// for one cell is hardly ever taken by another before its process listens.
const (
	firstNetwork = 64
	networks     = 128
)

var cells atomic.Int64

func nextNetwork() int {
	return firstNetwork + int((int64(os.Getpid())+cells.Add(1))%networks)
}
