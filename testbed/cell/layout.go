package cell

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"galenadyke.dev/core/objects"
	"galenadyke.dev/testbed/target"
)

// IndexVersion is the index version that all search targets hold at the start.
const IndexVersion = 7

// targetsByPlace returns the settings of all targets by place. The targets of
// one place share a process.
func (s *Spec) targetsByPlace() map[string][]target.Config {
	byPlace := make(map[string][]target.Config)
	seed := s.Seed
	add := func(group string, number int, placeIndex int, partitions []uint32) {
		t := s.Target
		seed++
		t.Seed = seed
		t.Name = fmt.Sprintf("%s-%c", group, 'a'+number)
		if number >= 26 {
			t.Name = fmt.Sprintf("%s-%d", group, number)
		}
		t.Slots, t.Connections = s.Slots, s.Connections
		// Each target has its own loopback address; the kernel assigns the port.
		place := s.Places[placeIndex]
		t.Address = fmt.Sprintf("127.%d.%d.%d:0", s.networkOctet, placeIndex+1, len(byPlace[place])+1)
		if partitions != nil {
			t.Versions = []target.Version{{Version: IndexVersion, Total: s.Groups * s.Partitions, Partitions: partitions}}
		}
		byPlace[place] = append(byPlace[place], t)
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

// buildSet returns the set of objects that the cell publishes first. addresses
// holds the address of each target by target name.
func (s *Spec) buildSet(byPlace map[string][]target.Config, addresses map[string]string) *objects.Set {
	groups := make(map[string]*objects.TargetGroup)
	for _, place := range s.Places {
		for _, t := range byPlace[place] {
			name := t.Name[:lastDashIndex(t.Name)]
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

// lastDashIndex returns the index of the last dash in the name, or the length of
// the name if it has no dash after its first byte.
func lastDashIndex(name string) int {
	for i := len(name) - 1; i > 0; i-- {
		if name[i] == '-' {
			return i
		}
	}
	return len(name)
}

// startTimeout bounds the time from the start of a stand-in to its line of
// addresses, and the time until all instances are ready.
const startTimeout = 10 * time.Second

// Range of the second octet of the loopback addresses. Each cell of a program
// uses the next value, and programs begin at a value derived from their process
// id. Cells that run at the same time therefore rarely share addresses, and a
// free port found for an instance is rarely used by another cell before the
// instance listens on it.
const (
	firstNetworkOctet = 64
	networkOctets     = 128
)

var startedCells atomic.Int64

func nextNetworkOctet() int {
	return firstNetworkOctet + int((int64(os.Getpid())+startedCells.Add(1))%networkOctets)
}
