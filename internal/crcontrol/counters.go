package crcontrol

// counterNames lists the counters of a control instance. All are declared at start, so that a counter at 0 can be
// told from a counter that does not exist.
var counterNames = []string{
	"changes_accepted", "changes_refused", "commands", "commands_forbidden", "confirmations_failed", "duties_failed", "inner_accept_failed", "inner_refused",
	"keeper_assignments_failed", "keeper_groups_changed", "keeper_groups_stuck", "keeper_states_failed",
}
