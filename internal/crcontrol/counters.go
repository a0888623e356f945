package crcontrol

// counterNames are the counters of a control instance; each is shown from the start, so that 0 and "no such counter"
// differ.
var counterNames = []string{
	"changes_accepted", "changes_refused", "commands", "commands_forbidden", "confirmations_failed", "duties_failed", "inner_refused",
	"keeper_assignments_failed", "keeper_groups_changed", "keeper_groups_stuck", "keeper_states_failed",
}
