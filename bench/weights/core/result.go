package core

import (
	"slices"
	"time"
)

func (r *run) result() Result {
	result := Result{ProcessorTime: r.processor / time.Duration(len(r.nodes)), Steps: r.steps}
	var times []time.Duration
	messages, size := 0, 0
	for _, n := range r.nodes {
		messages += n.messages
		size += n.bytes
		result.MaxUploads = max(result.MaxUploads, r.copies(n.uploads))
		if n.dead {
			continue
		}
		result.Live++
		if n.done > 0 {
			result.Complete++
			times = append(times, n.done)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		result.Time = float64(times[len(times)-1]) / float64(r.config.Unit)
		result.MedianTime = float64(times[len(times)/2]) / float64(r.config.Unit)
	}
	result.OriginCopies = r.copies(r.fromOrigin)
	r.addCrossings(&result)
	result.Messages = float64(messages) / float64(len(r.nodes))
	result.MessageBytes = float64(size) / float64(len(r.nodes))
	return result
}

func (r *run) copies(chunks int) float64 {
	return float64(chunks) / float64(r.config.Chunks)
}

// addCrossings sets the maximum and the mean over the zones of the chunks that
// entered a zone, in copies.
func (r *run) addCrossings(result *Result) {
	total := 0
	for _, chunks := range r.crossings {
		entered := 0
		for _, count := range chunks {
			entered += count
		}
		total += entered
		result.MaxCrossings = max(result.MaxCrossings, r.copies(entered))
	}
	result.MeanCrossings = r.copies(total) / float64(len(r.crossings))
}
