package core

import (
	"log/slog"
	"time"
)

// This file detects zones that are unreachable as a whole.

// zoneState is how many of a zone's registered machines report to this leader.
type zoneState struct {
	machines, reporting int
	unreachable         bool
}

// assessZones finds the unreachable zones: those with at least three machines of which
// fewer than half report. No machines are rented in such a zone. The capacity of its
// machines is not counted on, but they are kept (disposition names the exceptions), because
// they are probably only cut off. All this holds for maxZoneOutageLeases leases at most.
func (s *State) assessZones() map[string]zoneState {
	zones := map[string]zoneState{}
	for _, m := range s.machinesByName {
		if !m.registered || m.returning {
			continue
		}
		zone := zones[m.zone]
		zone.machines++
		if m.hasReported && s.now-m.lastHeardAt < s.maxReportGap() {
			zone.reporting++
		}
		zones[m.zone] = zone
	}
	for _, name := range sortedKeys(zones) {
		zone := zones[name]
		if zone.machines < 3 || zone.reporting*2 >= zone.machines {
			if _, ok := s.zoneUnreachableSince[name]; ok {
				delete(s.zoneUnreachableSince, name)
				s.zoneRecoveredAt[name] = s.now // its other machines get time to report: isLostForGood
			}
			continue
		}
		if s.zoneUnreachableSince == nil {
			s.zoneUnreachableSince, s.zoneRecoveredAt = map[string]time.Duration{}, map[string]time.Duration{}
		}
		if _, ok := s.zoneUnreachableSince[name]; !ok {
			s.zoneUnreachableSince[name] = s.now
			s.log(slog.LevelInfo, "zone is unreachable", "zone", name, "machines", zone.machines, "heard", zone.reporting, "term", s.leadership.Term)
		}
		zone.unreachable = s.now-s.zoneUnreachableSince[name] < maxZoneOutageLeases*s.cfg.Lease
		zones[name] = zone
	}
	return zones
}

// maxZoneOutageLeases is for how many leases a zone may be unreachable before its machines
// are treated like any others, and so given up.
const maxZoneOutageLeases = 16
