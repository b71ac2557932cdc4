package core

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"mulleinfall/internal/model"
)

// TestWaitingArraysTakeLittleMemory guards against memory for tasks that only wait: each array of
// 100,000 tasks took 12.5 KB on every controller from its submission on.
func TestWaitingArraysTakeLittleMemory(t *testing.T) {
	const arrays, mostBytes = 2000, 4 << 10 // for the description and the maps of a job
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	s := newSingleController()
	before := heap()
	for i := range arrays {
		id := fmt.Sprintf("req-%06d", i)
		spec := model.Job{ID: id, Team: "t", Kind: model.KindBatch, Priority: model.PriorityLow, Tasks: 100_000, CPUs: 4, Image: "img"}
		s.apply(Item{Key: prefixJobs + id, ModRevision: uint64(i + 1), Value: mustMarshal(jobValue{Spec: &spec})})
	}
	if perJob := (heap() - before) / arrays; perJob > mostBytes {
		t.Errorf("got %d bytes for each array, want at most %d", perJob, mostBytes)
	}
	runtime.KeepAlive(s)
}

// TestBitmapGrowsWithFinishedTasks checks a job's finished tasks in any order, up to the last
// one, and that another controller reads the same from the stored parts.
func TestBitmapGrowsWithFinishedTasks(t *testing.T) {
	const tasks = 100_000
	spec := model.Job{ID: "req-000001", Team: "t", Kind: model.KindBatch, Priority: model.PriorityLow, Tasks: tasks, CPUs: 4, Image: "img"}
	jobItem := Item{Key: prefixJobs + spec.ID, ModRevision: 1, Value: mustMarshal(jobValue{Spec: &spec})}
	s, reader := newSingleController(), newSingleController()
	s.apply(jobItem)
	reader.apply(jobItem)
	s.leadership = newLeadership(s)
	j := s.active[spec.ID]
	finished := []int{70_000, 3, tasks - 1, 32_767, 32_768, 64}
	for _, index := range finished {
		j.setDone(index)
	}
	s.now = s.cfg.BitmapWriteInterval
	s.writeBitmaps()
	stored := 0
	for _, queued := range s.queue {
		var value bitmapValue
		if json.Unmarshal(queued.change.Value, &value) == nil && value.Bits != "" {
			reader.apply(Item{Key: queued.change.Key, ModRevision: uint64(10 + stored), Value: queued.change.Value})
			stored++
		}
	}
	for _, job := range []*job{j, reader.active[spec.ID]} {
		for _, index := range finished {
			if !job.isDone(index) || job.isDone(index-1) != (index == 32_768) {
				t.Errorf("task %d: got done %v, the one before %v", index, job.isDone(index), job.isDone(index-1))
			}
		}
		if job.doneCount != len(finished) || job.waitingTasks() != tasks-len(finished) || job.isDone(50_000) {
			t.Errorf("got %d tasks done and %d waiting, want %d done", job.doneCount, job.waitingTasks(), len(finished))
		}
	}
}
