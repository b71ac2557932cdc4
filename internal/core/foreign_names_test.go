package core

import "testing"

// TestStoredValuesIgnoreForeignNames guards against fields of stored values that replace known
// ones because their names differ only by case, as in values of a later version.
func TestStoredValuesIgnoreForeignNames(t *testing.T) {
	s := newSingleController()
	s.apply(Item{Key: prefixJobs + "req-000001", ModRevision: 3, Value: []byte(
		`{"spec":{"id":"req-000001","ID":"req-900001","owner":"t","shape":"batch","rank":"high","Rank":"low","pieces":4,"Pieces":1,"site":"a","Site":"b"},"Spec":{"id":"req-900002"},"Phase":"done"}`)})
	j := s.active["req-000001"]
	if j == nil || j.ID != "req-000001" || j.Tasks != 4 || j.Zone != "a" || j.Priority != "high" || j.isFinal() {
		t.Errorf("job: got %+v, want the active job req-000001 with 4 tasks of priority high in zone a", j)
	}
	s.apply(Item{Key: keyTypes, ModRevision: 4, Value: []byte(`[{"label":"g8","Label":"g9","cpus":96,"CPUS":1,"sites":["a"],"ſites":["b"]}]`)})
	if g8 := s.types["g8"]; g8 == nil || g8.CPUs != 96 || len(g8.Zones) != 1 || g8.Zones[0] != "a" {
		t.Errorf("machine types: got %+v, want type g8 with 96 CPUs in zone a", s.types)
	}
	s.apply(Item{Key: keyTerm, ModRevision: 5, Value: []byte(`{"term":7,"Term":99,"TERM":98}`)})
	if s.term != 7 {
		t.Errorf("term: got %d, want 7", s.term)
	}
}
