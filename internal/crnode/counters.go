package crnode

// counterNames are the counters of a node. They are declared at the start, so that a counter at 0 differs from an unknown
// one.
var counterNames = []string{
	"answers_not_run", "answers_replayed", "answers_run", "answers_unknown", "arrivals_over_bound", "arrivals_without_home",
	"claims_refused", "config_refused", "config_updates", "convictions", "convictions_retried", "duties_failed", "gate_refused",
	"inner_accept_failed", "inner_refused", "notices_dropped", "quarantine_refused", "quarantine_waits", "requests", "retries", "retries_denied_by_bound",
	"preempted", "retries_denied_by_ratio", "runs", "server_crashes", "shed",
}
