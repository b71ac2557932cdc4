package core

import (
	"encoding/base64"
	"encoding/json"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Finished tasks, kept as bitmaps in the state service.

// bitmapState paces the writes of bitmaps.
type bitmapState struct {
	nextBitmapCheckAt time.Duration
}

// bitmapValue is a part of a chunk in the state service: its bytes from From on.
type bitmapValue struct {
	Bits string `json:"b"`
	From int    `json:"from,omitempty"`
}

// chunk is a slice of the finished-task bitmap with its own key, so that the
// largest job fits the store's values.
type chunk struct {
	dirty        bool // bits not yet durable
	writing      bool
	pendingParts int           // writes of its parts under way
	lastWriteAt  time.Duration // last write
	durableBits  []uint64
}

const (
	chunkTasks = 32768
	chunkWords = chunkTasks / 64
)

// applyBitmapKey merges finished tasks from the state service.
func (s *State) applyBitmapKey(name string, it Item) {
	id, at, ok := strings.Cut(name, "/")
	j := s.jobs[id]
	first, _, _ := strings.Cut(at, ".") // the slices of a chunk differ behind the dot
	n, err := strconv.Atoi(first)
	if !ok || err != nil || j == nil || j.isFinal() {
		return
	}
	var v bitmapValue
	if json.Unmarshal(it.Value, &v) != nil || v.From < 0 {
		return
	}
	b, err := base64.StdEncoding.DecodeString(v.Bits)
	if err != nil {
		return
	}
	c := j.chunk(n)
	for i := range b {
		at := v.From + i
		w := n*chunkWords + at/8
		if w >= len(j.doneBits) || at/8 >= len(c.durableBits) {
			break
		}
		word := uint64(b[i]) << (8 * (at % 8))
		c.durableBits[at/8] |= word
		fresh := word &^ j.doneBits[w]
		j.doneBits[w] |= word
		j.doneCount += bits.OnesCount64(fresh)
	}
}

func (j *job) chunk(n int) *chunk {
	c := j.chunks[n]
	if c == nil {
		words := min(chunkWords, len(j.doneBits)-n*chunkWords)
		c = &chunk{durableBits: make([]uint64, max(words, 0))}
		j.chunks[n] = c
	}
	return c
}

// isDurable says whether a finished task is safe to forget.
func (j *job) isDurable(i int) bool {
	if j.isFinal() {
		return true
	}
	c := j.chunks[i/chunkTasks]
	return c != nil && c.durableBits[(i%chunkTasks)/64]&(1<<(i%64)) != 0
}

// writeBitmaps writes what has finished, each job at most every few seconds.
func (s *State) writeBitmaps() {
	if s.now < s.nextBitmapCheckAt {
		return
	}
	s.nextBitmapCheckAt = s.now + s.cfg.BitmapWriteInterval/8
	for _, id := range sortedKeys(s.active) {
		j := s.active[id]
		if j.doneCount == j.Tasks {
			s.finishJob(j)
			continue
		}
		for _, n := range sortedKeys(j.chunks) {
			c := j.chunks[n]
			if !c.dirty || c.writing || s.now < c.lastWriteAt+s.cfg.BitmapWriteInterval {
				continue
			}
			s.writeChunk(j, n, c)
		}
	}
}

func (s *State) writeChunk(j *job, n int, c *chunk) {
	c.dirty, c.writing, c.lastWriteAt = false, true, s.now
	bits := append([]uint64(nil), j.doneBits[n*chunkWords:n*chunkWords+len(c.durableBits)]...)
	b := make([]byte, 0, len(bits)*8)
	for _, w := range bits {
		for k := 0; k < 8; k++ {
			b = append(b, byte(w>>(8*k)))
		}
	}
	for len(b) > 0 && b[len(b)-1] == 0 {
		b = b[:len(b)-1]
	}
	// A value holds so many bytes; the first part has the form that all versions
	// read, and the others are written once all know them. Until then what they
	// would hold isn't durable, so that workers keep it.
	most := (s.cfg.MaxValueBytes - 64) * 3 / 4
	last := max(len(b)-1, 0) / most * most
	if s.clusterVersion < versionGangs && last > 0 {
		if slices.ContainsFunc(c.durableBits[most/8:], func(w uint64) bool { return w != 0 }) {
			c.dirty, c.writing = true, false
			return // a larger value stands, and would lose what is beyond
		}
		last = 0
	}
	for from := last; from >= 0; from -= most { // the first last: what it sheds stands by then
		part := b[from:min(from+most, len(b))]
		key := prefixProgress + j.ID + "/" + strconv.Itoa(n)
		if from > 0 {
			key += "." + strconv.Itoa(from/most)
		}
		c.pendingParts++
		s.queueWrite(&write{
			change:     Change{Key: key, Value: mustMarshal(bitmapValue{base64.StdEncoding.EncodeToString(part), from})},
			leaderTerm: s.leadership.Term,
			deadline:   s.now + time.Hour,
			class:      classBitmap,
			// Written after the job's end it would stay for ever.
			isObsolete: func() bool { return j.isFinal() || j.writingDone },
			done: func(r outcome) {
				c.pendingParts--
				c.writing = c.pendingParts > 0
				if r != written {
					c.dirty = true
				}
			},
		})
	}
}
