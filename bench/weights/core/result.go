package core

import (
	"slices"
	"time"
)

func (r *simulation) result() Result {
	result := Result{ProcessorTime: r.decisionTime / time.Duration(len(r.nodes)), Steps: r.steps}
	var times []time.Duration
	messages, size := 0, 0
	for _, n := range r.nodes {
		messages += n.messages
		size += n.messageBytes
		result.MaxUploads = max(result.MaxUploads, r.copies(n.finishedUploads))
		if n.dead {
			continue
		}
		result.Live++
		if n.completedAt > 0 {
			result.Complete++
			times = append(times, n.completedAt)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		result.Time = float64(times[len(times)-1]) / float64(r.config.Unit)
		result.MedianTime = float64(times[len(times)/2]) / float64(r.config.Unit)
	}
	result.OriginCopies = r.copies(r.originChunks)
	r.addCrossings(&result)
	result.Messages = float64(messages) / float64(len(r.nodes))
	result.MessageBytes = float64(size) / float64(len(r.nodes))
	return result
}

func (r *simulation) copies(chunks int) float64 {
	return float64(chunks) / float64(r.config.Chunks)
}

// addCrossings sets the maximum and the mean over the zones of the chunks that
// entered a zone, in copies.
func (r *simulation) addCrossings(result *Result) {
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
