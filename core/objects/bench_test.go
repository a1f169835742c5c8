package objects

import (
	"fmt"
	"testing"
	"time"
)

// largeBundle returns the bundle of a set of the size planned for two years from
// now: 2,300 targets in 7 places of 3 regions.
func largeBundle(b *testing.B) []byte {
	const targets, places, replicas = 2300, 7, 4
	s := &Set{Limits: DefaultLimits()}
	for i := range places {
		s.Places = append(s.Places, Place{Name: fmt.Sprintf("place-%d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	route := Route{Name: "search", Kind: RouteSearch}
	for i := 0; i < targets; i += replicas {
		g := TargetGroup{Name: fmt.Sprintf("group-%04d", i), Service: "search", ConnectTime: 6 * time.Millisecond}
		for j := range replicas {
			g.Targets = append(g.Targets, Target{
				Name:    fmt.Sprintf("%s-%d", g.Name, j),
				Address: fmt.Sprintf("10.%d.%d.%d:7101", j, i/250, 1+i%250),
				Place:   s.Places[(i/replicas+j)%places].Name,
				Slots:   2, Connections: 25,
			})
		}
		s.Groups = append(s.Groups, g)
		route.Groups = append(route.Groups, g.Name)
	}
	s.Routes = []Route{route}
	raw, err := Bundle(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

func BenchmarkParse(b *testing.B) {
	raw := largeBundle(b)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, findings := Parse(raw); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}

func BenchmarkTarget(b *testing.B) {
	set, _ := Parse(largeBundle(b))
	b.ReportAllocs()
	for b.Loop() {
		if target, _ := set.Target("group-1000-2"); target == nil || set.IsPlaceOutOfService(target.Place) {
			b.Fatal("target group-1000-2 was not found or its place is out of service")
		}
	}
}
