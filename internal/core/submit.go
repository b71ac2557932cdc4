package core

import "mulleinfall/internal/model"

// Submissions: what is accepted, refused for now, and refused for good.

// submit takes a submission. What is refused for good is refused only once it is
// sure that no such job was accepted: neither lowered limits nor a replica that
// lags behind must have an accepted job answered with 400 or 422.
func (s *State) submit(o requester, spec model.Job, wall int64) {
	if len(s.types) == 0 {
		s.replyRetryLater(o, "machine types are not known yet")
		return
	}
	if s.jobs[spec.ID] != nil {
		s.poll(o, spec.ID) // the same id again: the job's state
		return
	}
	if spec.Kind == model.KindGang && s.cfg.GangWaitTimeout > 0 && s.clusterVersion < versionGangs {
		// A controller of the former version may still take this job over.
		s.replyRetryLater(o, "not all controllers know gangs yet")
		return
	}
	value := mustMarshal(jobValue{Spec: &spec, SubmittedAt: wall})
	pass := func() bool { return s.forwardToPeer(o, "submit", spec.ID, mustMarshal(spec), wall) }
	if status, why := s.permanentRefusal(&spec, len(value)); status != 0 {
		s.ifNotAccepted(o, spec.ID, func() { s.replyToUser(o, status, Problem{why}, 0) }, pass)
		return
	}
	switch {
	case s.sinceStoreContact() > s.storeContactTimeout() && pass():
	case s.isWriteQueueFull():
		s.replyRetryLater(o, "too many submissions under way")
	case !s.loaded || s.sinceStoreContact() > 2*s.storeContactTimeout():
		s.replyRetryLater(o, "the state service does not answer")
	default:
		s.storeJob(o, spec.ID, value, pass)
	}
}

// permanentRefusal says with which status a job is refused for good, and why; 0: it isn't.
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

// storeJob makes a submission durable and answers it; pass hands it to a peer.
func (s *State) storeJob(o requester, id string, value []byte, pass func() bool) {
	key := prefixJobs + id
	s.queueWrite(&write{
		change:   Change{Key: key, Value: value},
		deadline: s.now + userRequestTimeout,
		done: func(r outcome) {
			j := s.jobs[id]
			switch {
			case r == written:
				s.notifyPeers(key, value)
				s.replyToUser(o, 201, JobStatus{ID: id, Phase: model.PhaseQueued}, 0)
			case r == conflict && j != nil:
				s.replyWithStatus(o, j) // known by now, through another node or an earlier try
			case r == conflict:
				s.replyRetryLater(o, "try again")
			case !pass():
				s.replyRetryLater(o, "the state service does not answer")
			}
		},
	})
}

// ifNotAccepted calls f if no such job was accepted, and answers with the job's
// state otherwise. pass tries a peer if that can't be told here.
func (s *State) ifNotAccepted(o requester, id string, f func(), pass func() bool) {
	if len(s.pendingReads) >= s.cfg.MaxRequests {
		s.replyRetryLater(o, "too many requests under way")
		return
	}
	s.linearizableRead(func(ok bool) {
		switch j := s.jobs[id]; {
		case !ok && pass():
		case !ok:
			s.replyRetryLater(o, "the state service does not answer")
		case j != nil:
			s.replyWithStatus(o, j)
		default:
			f()
		}
	})
}

// infeasibleReason says why a job can never run, or nothing.
func (s *State) infeasibleReason(j *model.Job) string {
	team, ok := s.cfg.Teams[j.Team]
	if !ok {
		return "unknown team"
	}
	zones, fits := s.feasibleZones(j)
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := 1.0
	if j.Kind != model.KindBatch {
		n = float64(j.Tasks)
	}
	lim := team.Limit
	if lim.CPUs > 0 && n*j.CPUs > lim.CPUs || lim.GPUs > 0 && n*j.GPUs > lim.GPUs {
		return "the job needs more than its team's limit"
	}
	places := len(zones)
	if j.OneZone {
		places = min(places, 1)
	}
	if j.Kind == model.KindGang && places > 0 && j.Tasks > places*j.MaxTasksPerZone() {
		return "the gang's tasks can't be spread over the zones at the same time"
	}
	return ""
}

// feasibleZones lists the zones in which a task of j fits an allowed machine type, and
// says whether it fits any. Of a type without zones nothing final is said.
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
