package core

import "mulleinfall/internal/model"

// Submissions: which jobs are accepted, refused for now, or refused for good.

// submit handles a submission. A job is refused for good (400 or 422) only when it is
// certain that no job with its id was accepted before: an accepted job must not be
// refused because a limit was lowered or because this controller's replica of the stored
// state lags behind.
func (s *State) submit(from requester, spec model.Job, wallMs int64) {
	if len(s.types) == 0 {
		s.replyRetryLater(from, "machine types are not known yet")
		return
	}
	if s.jobs[spec.ID] != nil {
		s.poll(from, spec.ID) // submitted before: reply with its status
		return
	}
	if spec.Kind == model.KindGang && s.cfg.GangWaitTimeout > 0 && s.clusterVersion < versionGangs {
		// A controller of the previous version, which can't run gangs, may still become leader.
		s.replyRetryLater(from, "not all controllers know gangs yet")
		return
	}
	value := mustMarshal(jobValue{Spec: &spec, SubmittedAt: wallMs})
	forward := func() bool { return s.forwardToPeer(from, "submit", spec.ID, mustMarshal(spec), wallMs) }
	if status, why := s.permanentRefusal(&spec, len(value)); status != 0 {
		s.ifNotAccepted(from, spec.ID, func() { s.replyToUser(from, status, Problem{why}, 0) }, forward)
		return
	}
	switch {
	case s.sinceStoreContact() > s.storeContactTimeout() && forward():
		// A peer that reaches the state service has the request now.
	case s.isWriteQueueFull():
		s.replyRetryLater(from, "too many submissions under way")
	case !s.loaded || s.sinceStoreContact() > 2*s.storeContactTimeout():
		// If no peer can take the request, the write is still tried (default case)
		// until the last contact is more than two timeouts ago.
		s.replyRetryLater(from, "the state service does not answer")
	default:
		s.storeJob(from, spec.ID, value, forward)
	}
}

// permanentRefusal returns the status and the reason with which a job is refused for
// good, or status 0 if it isn't. bytes is the size of the value that would be stored.
func (s *State) permanentRefusal(spec *model.Job, bytes int) (status int, why string) {
	if spec.Kind == model.KindGang && s.cfg.GangWaitTimeout == 0 {
		return 400, "shape: gangs are not set up here"
	}
	if why := s.infeasibleReason(spec); why != "" {
		return 422, why
	}
	if bytes > s.cfg.MaxValueBytes {
		return 400, "job description too long"
	}
	return 0, ""
}

// storeJob writes a submission to the state service and replies to the user. forward
// sends the request to a peer and returns false if there is none that can take it.
func (s *State) storeJob(from requester, id string, value []byte, forward func() bool) {
	key := prefixJobs + id
	s.queueWrite(&write{
		change:   Change{Key: key, Value: value},
		deadline: s.now + userRequestTimeout,
		done: func(result outcome) {
			j := s.jobs[id]
			switch {
			case result == written:
				s.notifyPeers(key, value)
				s.replyToUser(from, 201, JobStatus{ID: id, Phase: model.PhaseQueued}, 0)
			case result == conflict && j != nil:
				s.replyWithStatus(from, j) // accepted before, by another controller or in an earlier try
			case result == conflict:
				// The key has a new value, but the replica couldn't read a job from it.
				s.replyRetryLater(from, "try again")
			case !forward():
				s.replyRetryLater(from, "the state service does not answer")
			}
		},
	})
}

// ifNotAccepted calls onNotAccepted if no job with this id was accepted, and replies with
// the job's status otherwise. If this controller can't find out, it calls forward to send
// the request to a peer.
func (s *State) ifNotAccepted(from requester, id string, onNotAccepted func(), forward func() bool) {
	if len(s.pendingReads) >= s.cfg.MaxRequests {
		s.replyRetryLater(from, "too many requests under way")
		return
	}
	s.linearizableRead(func(ok bool) {
		switch j := s.jobs[id]; {
		case !ok && forward():
		case !ok:
			s.replyRetryLater(from, "the state service does not answer")
		case j != nil:
			s.replyWithStatus(from, j)
		default:
			onNotAccepted()
		}
	})
}

// infeasibleReason returns why a job can never run, or "" if it can.
func (s *State) infeasibleReason(j *model.Job) string {
	team, ok := s.cfg.Teams[j.Team]
	if !ok {
		return "unknown team"
	}
	zones, fits := s.feasibleZones(j)
	if !fits {
		return "a task fits no allowed machine type"
	}
	tasksAtOnce := 1.0 // batch tasks may run one after another, those of other jobs run all at once
	if j.Kind != model.KindBatch {
		tasksAtOnce = float64(j.Tasks)
	}
	limit := team.Limit
	if limit.CPUs > 0 && tasksAtOnce*j.CPUs > limit.CPUs || limit.GPUs > 0 && tasksAtOnce*j.GPUs > limit.GPUs {
		return "the job needs more than its team's limit"
	}
	zoneCount := len(zones)
	if j.OneZone {
		zoneCount = min(zoneCount, 1)
	}
	// zoneCount is 0 if no type that fits lists its zones. Then the spread isn't checked.
	if j.Kind == model.KindGang && zoneCount > 0 && j.Tasks > zoneCount*j.MaxTasksPerZone() {
		return "the gang's tasks can't be spread over the zones at the same time"
	}
	return ""
}

// feasibleZones returns the zones in which a task of j fits an allowed machine type, and
// whether it fits any type. A type that lists no zones counts as fitting if j may run in
// any zone.
func (s *State) feasibleZones(j *model.Job) (zones map[string]bool, fits bool) {
	zones = map[string]bool{}
	for i := range s.typeList {
		t := &s.typeList[i]
		if !t.FitsTask(j) {
			continue
		}
		fits = fits || j.Zone == ""
		for _, zone := range t.Zones {
			if j.Zone == "" || j.Zone == zone {
				zones[zone], fits = true, true
			}
		}
	}
	return zones, fits
}
