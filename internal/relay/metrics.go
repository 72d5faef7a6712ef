package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"plantainrelay/internal/metrics"
)

// frontendMetrics holds the request metrics. The label values are reasons and outcomes
// from a fixed set in the code, so that their number is bounded.
type frontendMetrics struct {
	refused       *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	firstEvent    prometheus.Histogram
	duration      prometheus.Histogram
	queueTime     prometheus.Histogram
	storeCalls    *prometheus.CounterVec
	retries       *prometheus.CounterVec
	responseBytes *prometheus.CounterVec
	longestPause  prometheus.Histogram
	notices       *prometheus.CounterVec
	blocks        *blockMetrics
	panics        prometheus.Counter
	closed        *prometheus.CounterVec
	standbys      *prometheus.CounterVec
	ownEnds       *prometheus.CounterVec
	// heldPrompts counts attempts by whether their instance was expected to hold the beginning
	// of the prompt, heldTokens the tokens of these beginnings.
	heldPrompts *prometheus.CounterVec
	heldTokens  prometheus.Counter
	// directoryAnswers counts the answers of the address directory.
	directoryAnswers *prometheus.CounterVec
	loadReports      *prometheus.CounterVec
	// pulls counts the pulls of collections from peers.
	pulls *prometheus.CounterVec
}

// latencyBuckets are the bucket bounds of the latency histograms in seconds, from an
// entry's own processing time to the longest time limit of a request.
var latencyBuckets = []float64{.001, .005, .02, .05, .1, .2, .3, .4, .5, .75, 1, 2, 4, 8}

func newFrontendMetrics(m *metrics.Metrics) *frontendMetrics {
	f := &frontendMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "refused_total", Help: "Requests that this entry answered itself, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "attempts_total", Help: "Attempts at backend server instances by outcome.",
		}, []string{"outcome"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "store_calls_total", Help: "Calls of the platform's store by collection.",
		}, []string{"method", "collection"}),
		pulls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "collection_pulls_total", Help: "Pulls of collections from peers by whether they succeeded.",
		}, []string{"collection", "succeeded"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "repeats_total", Help: "Further attempts asked of the retry budget by its answer.",
		}, []string{"granted"}),
		responseBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "answer_bytes_total", Help: "Bytes of answers by the availability zone that they came from, own or other.",
		}, []string{"availability_zone"}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "request_panics_total", Help: "Requests whose connection was closed because handling them panicked.",
		}),
		ownEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "ended_attempts_total", Help: "Attempts that this entry or an agent ended before their response was complete, by reason.",
		}, []string{"reason"}),
		directoryAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "directory_answers_total", Help: "Answers of the address directory by the entries that they name: any, home (in the caller's region or a home region of the host), or no_home (others, because none of those accepts requests).",
		}, []string{"scope"}),
		standbys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "standby_attempts_total", Help: "Attempts at a second instance beside a silent one, by result.",
		}, []string{"result"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "closed_responses_total", Help: "Responses that had begun and were closed before their end, by cause.",
		}, []string{"cause"}),
		heldPrompts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "held_prompts_total", Help: "Attempts with shared prompt parts by whether the instance was expected to hold the first ones, hit or miss.",
		}, []string{"result"}),
		heldTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "held_prompt_tokens_total", Help: "Prompt tokens that instances were expected not to process again.",
		}),
		notices:      newNoticeCounter(),
		loadReports:  newLoadReportCounter(),
		blocks:       newBlockMetrics(),
		longestPause: histogram("longest_pause_seconds", "Longest pause between two events of a stream."),
		firstEvent:   histogram("first_event_seconds", "Time from a request's arrival to the first event of its answer."),
		duration:     histogram("request_seconds", "Time from a request's arrival to the end of its answer."),
		queueTime:    histogram("queue_seconds", "Time that attempts waited for a place."),
	}
	m.Registry.MustRegister(f.pulls, f.refused, f.attempts, f.storeCalls, f.retries, f.responseBytes, f.notices, f.blocks.decisions, f.blocks.interruptions, f.panics, f.ownEnds, f.directoryAnswers, f.loadReports, f.heldPrompts, f.heldTokens, f.closed, f.standbys, f.longestPause, f.firstEvent, f.duration, f.queueTime)
	return f
}

// countHeldPrompt counts an attempt whose instance was expected to hold a number of tokens of
// the prompt.
func (f *frontendMetrics) countHeldPrompt(tokens int) {
	result := "hit"
	if tokens == 0 {
		result = "miss"
	}
	f.heldPrompts.WithLabelValues(result).Inc()
	f.heldTokens.Add(float64(tokens))
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metrics.Namespace, Name: name, Help: help, Buckets: latencyBuckets})
}

// versionMetrics holds the limits on versions of weights by model.
type versionMetrics struct {
	minVersion *prometheus.GaugeVec
	target     *prometheus.GaugeVec
}

func newVersionMetrics() *versionMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: metrics.Namespace, Name: name, Help: help}, []string{"model"})
	}
	return &versionMetrics{
		minVersion: gauge("min_version", "Oldest version of the weights that may start a request, 0 for any."),
		target:     gauge("target_version", "Newest released version of the weights."),
	}
}
