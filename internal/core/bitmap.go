package core

import (
	"encoding/base64"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulleinfall/internal/exactjson"
)

// Finished tasks are stored as bitmaps in the state service.

// bitmapState limits how often bitmaps are written.
type bitmapState struct {
	nextBitmapCheckAt time.Duration
}

// bitmapValue is one part of a chunk in the state service.
type bitmapValue struct {
	Bits string `json:"b"`              // base64
	From int    `json:"from,omitempty"` // index in the chunk of the part's first byte
}

// bitmap is a set of task indexes, 64 in each word. It has only the words up to its highest
// index: an array of which no task has finished takes no memory for it, however many tasks wait.
type bitmap []uint64

// wordsFor returns how many words hold the indexes of a number of tasks.
func wordsFor(tasks int) int { return (tasks + 63) / 64 }

// has reports whether index i is in the set.
func (b bitmap) has(i int) bool { return i/64 < len(b) && b[i/64]&(1<<(i%64)) != 0 }

// merge adds the indexes in a word and returns how many of them are new.
func (b *bitmap) merge(wordIndex int, word uint64) int {
	if word == 0 {
		return 0
	}
	if missing := wordIndex + 1 - len(*b); missing > 0 {
		*b = append(*b, make([]uint64, missing)...)
	}
	added := word &^ (*b)[wordIndex]
	(*b)[wordIndex] |= word
	return bits.OnesCount64(added)
}

// section returns a copy of a number of words from a word on; those beyond the last are 0.
func (b bitmap) section(from, words int) []uint64 {
	section := make([]uint64, words)
	if from < len(b) {
		copy(section, b[from:])
	}
	return section
}

// chunk is a section of a job's bitmap of finished tasks. Each chunk has keys of its own,
// since the bitmap of a large job may exceed the state service's limit on the size of a
// value. For the same reason a chunk may be stored in several parts, each under one key.
type chunk struct {
	dirty        bool // some bits are not yet stored
	writing      bool
	pendingParts int           // parts whose write is under way
	lastWriteAt  time.Duration // when a write was last started
	durableBits  []uint64      // bits that are known to be stored
}

const (
	chunkTasks = 32768
	chunkWords = chunkTasks / 64
)

// applyBitmapKey merges finished tasks from a stored part of a chunk. The name is the id
// of the job, a slash and the number of the chunk, followed by a dot and the number of
// the part for all parts but the first.
func (s *State) applyBitmapKey(name string, item Item) {
	id, suffix, ok := strings.Cut(name, "/")
	j := s.jobs[id]
	chunkNumber, _, _ := strings.Cut(suffix, ".")
	number, err := strconv.Atoi(chunkNumber)
	if !ok || err != nil || j == nil || j.isFinal() {
		return
	}
	var value bitmapValue
	if exactjson.Unmarshal(item.Value, &value) != nil || value.From < 0 {
		return
	}
	part, err := base64.StdEncoding.DecodeString(value.Bits)
	if err != nil {
		return
	}
	target := j.chunk(number)
	for i := range part {
		offset := value.From + i
		wordIndex := number*chunkWords + offset/8
		if wordIndex >= wordsFor(j.Tasks) || offset/8 >= len(target.durableBits) {
			break
		}
		word := uint64(part[i]) << (8 * (offset % 8))
		target.durableBits[offset/8] |= word
		j.doneCount += j.doneBits.merge(wordIndex, word)
	}
}

// chunk returns chunk n of the bitmap of finished tasks, and creates it if it is missing.
func (j *job) chunk(n int) *chunk {
	found := j.chunks[n]
	if found == nil {
		words := min(chunkWords, wordsFor(j.Tasks)-n*chunkWords)
		found = &chunk{durableBits: make([]uint64, max(words, 0))}
		j.chunks[n] = found
	}
	return found
}

// isDurable reports whether the completion of task i is stored, so that a worker may
// forget the task.
func (j *job) isDurable(i int) bool {
	if j.isFinal() {
		return true
	}
	c := j.chunks[i/chunkTasks]
	return c != nil && c.durableBits[(i%chunkTasks)/64]&(1<<(i%64)) != 0
}

// writeBitmaps stores newly finished tasks, or the end of a job if all its tasks are
// finished. Each chunk is written at most once per BitmapWriteInterval.
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

// writeChunk stores a chunk, in several parts if it exceeds the limit on the size of a value.
func (s *State) writeChunk(j *job, number int, c *chunk) {
	c.dirty, c.writing, c.lastWriteAt = false, true, s.now
	words := j.doneBits.section(number*chunkWords, len(c.durableBits))
	encoded := make([]byte, 0, len(words)*8)
	for _, w := range words {
		for k := 0; k < 8; k++ {
			encoded = append(encoded, byte(w>>(8*k)))
		}
	}
	for len(encoded) > 0 && encoded[len(encoded)-1] == 0 {
		encoded = encoded[:len(encoded)-1]
	}
	// A part holds at most maxBytes of the bitmap, so that a value with the part in base64
	// stays within the limit. All versions can read the first part. The other parts are
	// written only when all controllers can read them. Until then what they would hold
	// isn't durable, so workers don't forget those tasks.
	maxBytes := (s.cfg.MaxValueBytes - 64) * 3 / 4
	last := max(len(encoded)-1, 0) / maxBytes * maxBytes
	if s.clusterVersion < versionGangs && last > 0 {
		if slices.ContainsFunc(c.durableBits[maxBytes/8:], func(w uint64) bool { return w != 0 }) {
			c.dirty, c.writing = true, false
			return // the stored value is longer than one part, and overwriting it would lose its end
		}
		last = 0
	}
	// The first part is written last: if it gets shorter than the stored first part, the
	// other parts already hold what it no longer holds.
	for from := last; from >= 0; from -= maxBytes {
		part := encoded[from:min(from+maxBytes, len(encoded))]
		key := prefixProgress + j.ID + "/" + strconv.Itoa(number)
		if from > 0 {
			key += "." + strconv.Itoa(from/maxBytes)
		}
		c.pendingParts++
		s.queueWrite(&write{
			change:     Change{Key: key, Value: mustMarshal(bitmapValue{base64.StdEncoding.EncodeToString(part), from})},
			leaderTerm: s.leadership.Term,
			deadline:   s.now + time.Hour,
			class:      classBitmap,
			// A bitmap written after the end of the job would stay for ever.
			isObsolete: func() bool { return j.isFinal() || j.writingDone },
			done: func(result outcome) {
				c.pendingParts--
				c.writing = c.pendingParts > 0
				if result != written {
					c.dirty = true
				}
			},
		})
	}
}
