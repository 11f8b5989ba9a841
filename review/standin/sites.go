package main

import (
	"fmt"
	"strings"
	"time"
)

// team is a team of the settings.
type team struct {
	name       string
	cpus, most float64
}

func teamTables(teams []team) string {
	var text strings.Builder
	for _, t := range teams {
		fmt.Fprintf(&text, "[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n", t.name, t.cpus, t.most)
	}
	return text.String()
}

// biurko returns the settings of biurko-warsaw.
func biurko() site {
	teams := []team{{"rezerwacje", 16, 72}, {"mapy", 24, 56}, {"integracje", 48, 160}, {"raporty", 40, 136}, {"platforma", 24, 72}}
	return site{
		teams: teamTables(teams), reportS: 3, leaseS: 22, cancelS: 52, rps: 200, writeRPS: 80, valueKB: 8, txnOps: 16,
		cloudRPS: 5, listLagS: 10, coreShare: 0.144, memMB: 125, maxConnections: 2500, nodeNumber: 3, restartAfter: 6 * time.Second,
	}
}

// mvta returns the settings of mvta-tickets.
func mvta() site {
	var teams []team
	for i := range 6 {
		teams = append(teams, team{fmt.Sprintf("fares-desk-%d", i+1), 24, 48})
	}
	return site{
		teams: teamTables(teams), reportS: 2, leaseS: 12, cancelS: 37, rps: 150, writeRPS: 25, valueKB: 4, txnOps: 12,
		cloudRPS: 6, listLagS: 3, coreShare: 0.18, memMB: 125, maxConnections: 1500, nodeNumber: 3, restartAfter: 6 * time.Second,
	}
}

// Machine types of the two deployments. The only zone is "a".
var (
	kostka4    = fleet{Name: "kostka-4", VCPUs: 4, MemoryGB: 16, CacheGB: 30, PullGBPerS: 0.6, Rate: 0.29, SpotPrice: 0.09, BootS: 40, Yards: []string{"a"}}
	depotSmall = fleet{Name: "depot-small", VCPUs: 4, MemoryGB: 16, CacheGB: 50, PullGBPerS: 0.25, Rate: 0.16, SpotPrice: 0.06, BootS: 20, Yards: []string{"a"}}
	garageBig  = fleet{Name: "garage-big", VCPUs: 64, MemoryGB: 512, CacheGB: 50, PullGBPerS: 0.4, Rate: 2.84, SpotPrice: 1.08, BootS: 35, Yards: []string{"a"}}
)

// array returns the submission of an array.
func array(number int, route, crew, urgency string, legs int, vcpus, memoryGB, runtimeS float64) submission {
	return submission{
		ID: fmt.Sprintf("j-%06d", number), Route: route, Crew: crew, Shape: "sweep", Urgency: urgency, Legs: legs,
		VCPUs: vcpus, MemoryGB: memoryGB, Bundle: "img-" + route, SizeGB: 0.6, RuntimeS: runtimeS,
	}
}
