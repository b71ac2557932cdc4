package core

import (
	"log/slog"
	"time"
)

// Zones that are out of reach as a whole.

// zoneState is what this leader hears of a zone's machines.
type zoneState struct {
	machines, reporting int
	unreachable         bool
}

// assessZones finds the zones that are out of reach as a whole: most of their
// machines, and at least a few, don't report. Nothing is rented there nor
// counted on, and nothing returned, since what looks lost is only cut off;
// but not for ever.
func (s *State) assessZones() map[string]zoneState {
	zones := map[string]zoneState{}
	for _, m := range s.machinesByName {
		if !m.registered || m.returning {
			continue
		}
		z := zones[m.zone]
		z.machines++
		if m.hasReported && s.now-m.lastHeardAt < s.maxReportGap() {
			z.reporting++
		}
		zones[m.zone] = z
	}
	for _, name := range sortedKeys(zones) {
		z := zones[name]
		if z.machines < 3 || z.reporting*2 >= z.machines {
			if _, ok := s.zoneUnreachableSince[name]; ok {
				delete(s.zoneUnreachableSince, name)
				s.zoneRecoveredAt[name] = s.now // its machines come back one by one
			}
			continue
		}
		if s.zoneUnreachableSince == nil {
			s.zoneUnreachableSince, s.zoneRecoveredAt = map[string]time.Duration{}, map[string]time.Duration{}
		}
		if _, ok := s.zoneUnreachableSince[name]; !ok {
			s.zoneUnreachableSince[name] = s.now
			s.log(slog.LevelInfo, "zone out of reach", "zone", name, "machines", z.machines, "heard", z.reporting, "term", s.leadership.Term)
		}
		z.unreachable = s.now-s.zoneUnreachableSince[name] < maxZoneOutageLeases*s.cfg.Lease
		zones[name] = z
	}
	return zones
}

// maxZoneOutageLeases is for how many leases a zone may be out of reach before its
// machines are given up.
const maxZoneOutageLeases = 16
