package crcode

import "net/http"

// Codes of requests that ran and whose answer is returned.
const (
	OK       Code = 100
	Replayed Code = 101
)

// Codes of requests that were not run.
const (
	BadRequest       Code = 200
	UnknownService   Code = 201
	UnknownKind      Code = 202
	MissingID        Code = 203
	BadID            Code = 204
	IDFromFuture     Code = 205
	BodyTooLarge     Code = 206
	DeadlineExpired  Code = 207
	BadDeadline      Code = 208
	DuplicateHeader  Code = 209
	Overloaded       Code = 210
	QueueTimeout     Code = 211
	Leaving          Code = 212
	NoServer         Code = 213
	RetriesSpent     Code = 214
	IDOtherBody      Code = 215
	Quarantined      Code = 216
	ClaimFailed      Code = 217
	Cancelled        Code = 218
	Stopping         Code = 219
	NotConfigured    Code = 220
	StaleIncarnation Code = 221
	BadContext       Code = 222
	MissingCallKey   Code = 223
	ServerRefused    Code = 224
	Suspected        Code = 225
	UnknownKey       Code = 226
	QuotaExceeded    Code = 227
	KeysUnconfirmed  Code = 228
)

// Codes of requests whose outcome is unknown or whose answer is not available.
const (
	AnswerLost      Code = 300
	InProgress      Code = 301
	DeadlineRunning Code = 302
	ServerDied      Code = 303
	IDTooOld        Code = 304
	AnswerNotKept   Code = 305
	AnswerTooLarge  Code = 306
	AnswerTruncated Code = 307
	CancelledRun    Code = 308
	Preempted       Code = 309
)

// Codes of operator commands.
const (
	Syntax          Code = 400
	BadCharacter    Code = 401
	UnknownCommand  Code = 402
	NotFound        Code = 403
	VersionConflict Code = 404
	BadValue        Code = 405
	CommandIDReused Code = 406
	CommandIDTooOld Code = 407
	NoLeader        Code = 408
	ChangePending   Code = 409
	WaitTimeout     Code = 410
	Forbidden       Code = 411
	Exists          Code = 412
	CommandUnknown  Code = 413
	LimitReached    Code = 414
	HasKinds        Code = 415
)

// Codes of the protocol between processes and of storage.
const (
	WrongProtocol    Code = 500
	BadSecret        Code = 501
	MessageTooLarge  Code = 502
	MalformedMessage Code = 503
	UnknownMethod    Code = 504
	ConnectionLost   Code = 505
	StoreDamaged     Code = 510
	StoreForeign     Code = 511
	DiskFull         Code = 512
	SyncFailed       Code = 513
	StoreLocked      Code = 514
	Overflow         Code = 515
	NotStored        Code = 516
	Internal         Code = 599
)

// Codes of the settings file.
const (
	SettingsUnreadable Code = 600
	SettingsUnknownKey Code = 601
	SettingsBadValue   Code = 602
	SettingsMissingKey Code = 603
)

// table describes all codes in ascending order; a copy of it is in docs/result-codes.md.
var table = []Info{
	{OK, "ok", Run, http.StatusOK, "The request ran. The answer is whole."},
	{Replayed, "replayed", Run, http.StatusOK, "The request ran before. This is the same answer again."},
	{BadRequest, "bad_request", NotRun, http.StatusBadRequest, "The request is malformed. Correct it and send it again."},
	{UnknownService, "unknown_service", NotRun, http.StatusNotFound, "No such service. Check the name or ask an operator to create it."},
	{UnknownKind, "unknown_kind", NotRun, http.StatusNotFound, "The service has no such kind. Check the name or ask an operator to create it."},
	{MissingID, "missing_id", NotRun, http.StatusBadRequest, "This kind may not be repeated, so it needs a request id. Get one from GET /v1/id."},
	{BadID, "bad_id", NotRun, http.StatusBadRequest, "The request id is malformed. Get one from GET /v1/id."},
	{IDFromFuture, "id_from_future", NotRun, http.StatusBadRequest, "The id's creation time is in the future. Correct the clock of the caller or get an id from GET /v1/id."},
	{BodyTooLarge, "body_too_large", NotRun, http.StatusRequestEntityTooLarge, "The body is larger than the node allows. Send a smaller one."},
	{DeadlineExpired, "deadline_expired", NotRun, http.StatusGatewayTimeout, "The time left was too short to run the request. Send it again with more time."},
	{BadDeadline, "bad_deadline", NotRun, http.StatusBadRequest, "The deadline must be a whole number of milliseconds from 1 to 600000."},
	{DuplicateHeader, "duplicate_header", NotRun, http.StatusBadRequest, "A Citronramp header stands twice. Send it once."},
	{Overloaded, "overloaded", NotRun, http.StatusServiceUnavailable, "There is more load than capacity. Send the request again after Retry-After."},
	{QueueTimeout, "queue_timeout", NotRun, http.StatusServiceUnavailable, "The request waited too long for a place. Send it again after Retry-After."},
	{Leaving, "leaving", NotRun, http.StatusServiceUnavailable, "The backend server is leaving or has not announced itself. Send the request again."},
	{NoServer, "no_server", NotRun, http.StatusServiceUnavailable, "No backend server of the service can be reached. Send the request again after Retry-After."},
	{RetriesSpent, "retries_spent", NotRun, http.StatusTooManyRequests, "The retries of this request are spent. This send was not run; an earlier one may have been."},
	{IDOtherBody, "id_other_body", NotRun, http.StatusConflict, "The id was used for another kind or body. Use a new id."},
	{Quarantined, "quarantined", NotRun, http.StatusUnprocessableEntity, "This request crashed backend servers and is blocked. Ask an operator."},
	{ClaimFailed, "claim_failed", NotRun, http.StatusServiceUnavailable, "The record of the request could not be written. Send it again after Retry-After."},
	{Cancelled, "cancelled", NotRun, 499, "The caller went away before the request ran."},
	{Stopping, "stopping", NotRun, http.StatusServiceUnavailable, "This node is stopping. Send the request to another entrance."},
	{NotConfigured, "not_configured", NotRun, http.StatusServiceUnavailable, "The node has no configuration yet. Send the request again after Retry-After."},
	{StaleIncarnation, "stale_incarnation", NotRun, http.StatusServiceUnavailable, "The message was meant for an earlier incarnation of this node."},
	{BadContext, "bad_context", NotRun, http.StatusBadRequest, "The Citronramp-Context header names no running request on this node."},
	{MissingCallKey, "missing_call_key", NotRun, http.StatusBadRequest, "A deeper call of a kind that may not be repeated needs Citronramp-Call-Key."},
	{ServerRefused, "server_refused", NotRun, http.StatusServiceUnavailable, "The backend server refused the request without running it. Send it again after Retry-After."},
	{Suspected, "suspected", NotRun, http.StatusServiceUnavailable, "Servers crashed while they ran this request. It runs again on one that has been up for some seconds. Send it again after Retry-After."},
	{UnknownKey, "unknown_key", NotRun, http.StatusUnauthorized, "No organisation holds the key of the request. Correct the key or ask an operator to add it."},
	{QuotaExceeded, "quota_exceeded", NotRun, http.StatusTooManyRequests, "The organisation has used up its quota. Send the request again after Retry-After."},
	{KeysUnconfirmed, "keys_unconfirmed", NotRun, http.StatusServiceUnavailable, "The node cannot confirm that its keys are current. Send the request again after Retry-After."},
	{AnswerLost, "answer_lost", Unknown, http.StatusBadGateway, "The connection broke after the request was sent. Send it again with the same id."},
	{InProgress, "in_progress", Unknown, http.StatusConflict, "The request was started before and has no answer yet. Send it again later with the same id."},
	{DeadlineRunning, "deadline_running", Unknown, http.StatusGatewayTimeout, "The deadline passed while the request ran. Send it again with the same id."},
	{ServerDied, "server_died", Unknown, http.StatusBadGateway, "The backend server died while the request ran. Send it again after Retry-After with the same id."},
	{IDTooOld, "id_too_old", Unknown, http.StatusGone, "The id is too old to tell whether it ran. This send was not run. Look up the result in the service."},
	{AnswerNotKept, "answer_not_kept", Run, http.StatusGone, "The request ran, but its answer is no longer kept. Look up the result in the service."},
	{AnswerTooLarge, "answer_too_large", Run, http.StatusBadGateway, "The request ran, but its answer is larger than the node allows."},
	{AnswerTruncated, "answer_truncated", Unknown, http.StatusBadGateway, "The backend server sent only a part of its answer. Send the request again with the same id."},
	{CancelledRun, "cancelled_run", Unknown, 499, "The caller went away while the request ran."},
	{Preempted, "preempted", Unknown, http.StatusServiceUnavailable, "The request was stopped to make room for a protected one. Send it again after Retry-After with the same id."},
	{Syntax, "syntax", NotRun, http.StatusBadRequest, "The command is malformed. See the grammar in docs/operators.md."},
	{BadCharacter, "bad_character", NotRun, http.StatusBadRequest, "The command has a character that is not allowed. Type it again with plain ASCII."},
	{UnknownCommand, "unknown_command", NotRun, http.StatusBadRequest, "No such command. Type help."},
	{NotFound, "not_found", NotRun, http.StatusNotFound, "The object does not exist. Check its name with show."},
	{VersionConflict, "version_conflict", NotRun, http.StatusConflict, "Somebody changed the object first. Read it again, then decide."},
	{BadValue, "bad_value", NotRun, http.StatusBadRequest, "The value is not allowed. The message names what is."},
	{CommandIDReused, "command_id_reused", NotRun, http.StatusConflict, "The command id was used for another command. Use a new one."},
	{CommandIDTooOld, "command_id_too_old", Unknown, http.StatusGone, "The command id is too old to tell whether it ran. Read the object, then use a new id."},
	{NoLeader, "no_leader", NotRun, http.StatusServiceUnavailable, "No control instance is in charge now. Nothing was changed. Try again, or ask another control instance."},
	{ChangePending, "change_pending", NotRun, http.StatusConflict, "Another change of members has not settled. Wait until it has."},
	{WaitTimeout, "wait_timeout", Run, http.StatusGatewayTimeout, "The change is accepted but not yet in force on the named nodes. Wait again."},
	{Forbidden, "forbidden", NotRun, http.StatusForbidden, "The secret is missing or wrong. Set it in the settings."},
	{Exists, "exists", NotRun, http.StatusConflict, "The object exists already. Use set to change it."},
	{CommandUnknown, "command_outcome_unknown", Unknown, http.StatusGatewayTimeout, "The command may have been accepted. Send it again with the same command id."},
	{LimitReached, "limit_reached", NotRun, http.StatusConflict, "There are as many objects of this sort as allowed. Delete one first."},
	{HasKinds, "has_kinds", NotRun, http.StatusConflict, "The service has kinds. Delete them first."},
	{WrongProtocol, "wrong_protocol", NotRun, http.StatusBadRequest, "The other process speaks another version of the protocol. Update the older one."},
	{BadSecret, "bad_secret", NotRun, http.StatusForbidden, "The secret of the other process differs. Set the same secret in both settings files."},
	{MessageTooLarge, "message_too_large", NotRun, http.StatusRequestEntityTooLarge, "A message is over the size bound."},
	{MalformedMessage, "malformed_message", NotRun, http.StatusBadRequest, "A message could not be decoded."},
	{UnknownMethod, "unknown_method", NotRun, http.StatusNotFound, "The other process does not know this method."},
	{ConnectionLost, "connection_lost", Unknown, http.StatusBadGateway, "The connection to the other process broke."},
	{StoreDamaged, "store_damaged", NotRun, http.StatusInternalServerError, "The data folder is damaged. Keep it and replace this control instance; see docs/operators.md."},
	{StoreForeign, "store_foreign", NotRun, http.StatusInternalServerError, "The data folder belongs to another instance. Check data_dir in the settings."},
	{DiskFull, "disk_full", NotRun, http.StatusInternalServerError, "The disk is full. Free space; the control instance then goes on by itself."},
	{SyncFailed, "sync_failed", NotRun, http.StatusInternalServerError, "The disk failed to store data. Replace this control instance; see docs/operators.md."},
	{StoreLocked, "store_locked", NotRun, http.StatusInternalServerError, "Another process uses the data folder. Stop it first."},
	{Overflow, "overflow", NotRun, http.StatusServiceUnavailable, "A bounded queue is full. Try again later."},
	{NotStored, "not_stored", Unknown, http.StatusServiceUnavailable, "Too few coordinators have stored the message. Send it again."},
	{Internal, "internal", Unknown, http.StatusInternalServerError, "An unexpected error. Report it with the state dump."},
	{SettingsUnreadable, "settings_unreadable", NotRun, http.StatusBadRequest, "The settings file cannot be read or is not TOML."},
	{SettingsUnknownKey, "settings_unknown_key", NotRun, http.StatusBadRequest, "The settings file has a key that does not exist. Remove it."},
	{SettingsBadValue, "settings_bad_value", NotRun, http.StatusBadRequest, "A value in the settings file is not allowed. The message names what is."},
	{SettingsMissingKey, "settings_missing_key", NotRun, http.StatusBadRequest, "The settings file lacks a key. Add it."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		m[i.Code] = i
	}
	return m
}()
