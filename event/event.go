// Package event is the registry of numbered events. Each event has a number
// that never changes, a name, a level and a text for operators, from which
// docs/EVENTS.md is made.
package event

import "github.com/sirupsen/logrus"

// Number identifies an event for good. Numbers are never reused.
type Number int

// Event is an entry of the registry.
type Event struct {
	Number Number
	Name   string
	Level  logrus.Level
	// Text says what happened and what an operator can do about it.
	Text string
}

// Registry lists all events by number. Hundreds stand for subjects: 1xx
// process, 2xx ordered state, 3xx membership and peers, 4xx requests,
// 5xx rates, 6xx placement, 7xx operators, 8xx gateway, 9xx stand-ins.
var Registry = []Event{
	ProcessStarted, ProcessReady, StopRequested, ProcessStopped, StopForced, PanicCaught,
	LogUnreachable, LogReachable, RecordSkipped, RecordApplied, RecordRejected,
	StateIncomplete, SnapshotLoaded, SnapshotWritten, SnapshotFailed, RecordsMissing, RelayFailed, StateDiverged,
	PeerJoined, PeerSilent, PeerLeaving, ListUnreachable, PeerRestarted, VMCutOff, VMReconnected,
	RequestReceived, RequestRefused, AttemptStarted, AttemptFailed, RequestAnswered, CallerCut, AttemptWithheld,
	ShareMinted, ShareLost, ShareTakeover,
	PlacerClaimed, PlacerReplaced, PlacementIntended, PlacementRejected, OrderFailed, PlacementBroken,
	KeyHeardWithdrawn, OperatorCommand, WithdrawalAppended,
	ConfigApplied, StoreLost, StoreFound, EntryOdd, UpstreamLeaving, DirectoryLate, DirectoryInTime, UpstreamNotice, NoticeOdd, NoticeTold,
	JoinFailed, PartsDealt, ClaimFailed, DutyTaken, CoordinatorLost, CoordinatorFound, RelayFound, RelayLost, KeeperLost, KeeperChanged,
	EngineOrdered, PlacementChanged, MoveFailed, PlacementViewed, ReportFailed, SettingsReloaded, SettingsRefused, GatewayFault, LinesLeftOut, RequestServed,
	FakeStarted, FakeServed,
}

// Events of the process.
var (
	ProcessStarted = Event{101, "process_started", logrus.InfoLevel, "The process has read its settings and opens its listeners."}
	ProcessReady   = Event{102, "process_ready", logrus.InfoLevel, "The VM has state and accepts requests."}
	StopRequested  = Event{103, "stop_requested", logrus.InfoLevel, "A planned stop began; open requests are finished first."}
	ProcessStopped = Event{104, "process_stopped", logrus.InfoLevel, "The process ends; the field cut counts requests that were cut."}
	PanicCaught    = Event{106, "panic_caught", logrus.ErrorLevel, "A fault of the program ended a request, a call of a peer or a turn in the background by a panic; the rest goes on. Report it with the field stack."}
	StopForced     = Event{105, "stop_forced", logrus.WarnLevel, "A second signal ended the process at once; the field cut counts requests that were cut."}
)

// Events of the ordered state.
var (
	LogUnreachable = Event{201, "log_unreachable", logrus.WarnLevel, "The platform's log does not answer. The state stays in force; commands are refused until it answers."}
	LogReachable   = Event{202, "log_reachable", logrus.InfoLevel, "The platform's log answers again."}
	RecordSkipped  = Event{203, "record_skipped", logrus.WarnLevel, "A record of the log cannot be decoded and is skipped on every VM. Find out who else writes to the log."}
	RecordApplied  = Event{204, "record_applied", logrus.DebugLevel, "A record was accepted and is in force on this VM."}
	RecordRejected = Event{205, "record_rejected", logrus.DebugLevel, "A record was rejected by the rules of the state; the field reason says why."}

	StateIncomplete = Event{206, "state_incomplete", logrus.ErrorLevel, "Records that this VM needs have expired and the log holds no snapshot for them. The VM keeps the state that it has and tries its peers. If no VM is ready, the configuration must be made anew."}
	SnapshotLoaded  = Event{207, "snapshot_loaded", logrus.InfoLevel, "The state was replaced by a newer snapshot; the field source is log or the address of a peer."}
	SnapshotWritten = Event{208, "snapshot_written", logrus.InfoLevel, "A snapshot of the state is complete in the log."}
	SnapshotFailed  = Event{209, "snapshot_failed", logrus.WarnLevel, "A snapshot could not be written; it is tried again. If this goes on, VMs that start after the retention time cannot get the state from the log."}
	RecordsMissing  = Event{210, "records_missing", logrus.WarnLevel, "Records that were read do not follow the applied offset. They are not applied; the VM looks for a snapshot."}
	RelayFailed     = Event{211, "relay_failed", logrus.DebugLevel, "A peer could not give the records or the state that this VM misses."}
	StateDiverged   = Event{212, "state_diverged", logrus.ErrorLevel, "This VM and the one in the field vm made different states of the same records. Restart the VM that runs another version or differs from most; this must not happen and is a fault to report."}
)

// Events of membership.
var (
	PeerJoined      = Event{301, "peer_joined", logrus.InfoLevel, "Another VM answers."}
	PeerSilent      = Event{302, "peer_silent", logrus.WarnLevel, "A VM that answered no longer does. Its connection is dropped and dialled anew."}
	PeerLeaving     = Event{303, "peer_leaving", logrus.InfoLevel, "A VM announced a planned stop."}
	ListUnreachable = Event{304, "vm_list_unreachable", logrus.WarnLevel, "The platform's VM list does not answer; the last one stays in use."}
	PeerRestarted   = Event{305, "peer_restarted", logrus.InfoLevel, "The process of another VM was started anew."}
	VMCutOff        = Event{306, "vm_cut_off", logrus.WarnLevel, "This VM reaches neither the log nor a VM that does. The setting cut_off_keys says whether it serves known keys."}
	VMReconnected   = Event{307, "vm_reconnected", logrus.InfoLevel, "This VM reaches the log, or a VM that does, again."}
)

// Events of requests.
var (
	RequestReceived = Event{401, "request_received", logrus.DebugLevel, "A caller's request passed key and route checks."}
	RequestRefused  = Event{402, "request_refused", logrus.InfoLevel, "A request was refused; the field kind is the error kind."}
	AttemptStarted  = Event{403, "attempt_started", logrus.DebugLevel, "The request is sent to an upstream."}
	AttemptFailed   = Event{404, "attempt_failed", logrus.InfoLevel, "An upstream failed; the field reason says how."}
	RequestAnswered = Event{405, "request_answered", logrus.DebugLevel, "The whole answer went to the caller."}
	AttemptWithheld = Event{407, "attempt_withheld", logrus.InfoLevel, "The upstream turned out to leave, or the directory to be too old, when the request was about to be written. Nothing was sent; another upstream is chosen."}
	CallerCut       = Event{406, "caller_cut", logrus.InfoLevel, "A connected caller was cut off; the field reason says why."}
)

// Events of placement.
var (
	PlacerClaimed     = Event{601, "placer_claimed", logrus.InfoLevel, "This VM is the placer of its data centre; the field epoch is its number."}
	PlacerReplaced    = Event{602, "placer_replaced", logrus.InfoLevel, "Another VM has become the placer of this data centre."}
	PlacementIntended = Event{603, "placement_intended", logrus.InfoLevel, "A change of what an engine holds was accepted and will be ordered; the field reason says why."}
	PlacementRejected = Event{604, "placement_rejected", logrus.InfoLevel, "A wanted change was rejected, because another came first or a promise would break; it is planned anew."}
	OrderFailed       = Event{605, "engine_order_failed", logrus.WarnLevel, "An engine refused an order or did not answer. The order is sent again; its memory stays reserved."}
	PlacementBroken   = Event{606, "placement_rule_broken", logrus.ErrorLevel, "The account of an engine's memory breaks a rule. This is a fault of the program; report it."}
)

// Events of operators.
var (
	KeyHeardWithdrawn  = Event{701, "key_heard_withdrawn", logrus.InfoLevel, "This VM refuses the key from now on."}
	OperatorCommand    = Event{702, "operator_command", logrus.InfoLevel, "An operator's command ended; the field verdict is its outcome."}
	WithdrawalAppended = Event{703, "withdrawal_appended", logrus.InfoLevel, "A withdrawal that was in force before it was in the log is in the log now."}
)

// Events of the stand-ins.
var (
	FakeStarted = Event{901, "standin_started", logrus.InfoLevel, "A stand-in listens."}
	FakeServed  = Event{902, "standin_served", logrus.DebugLevel, "A stand-in served a request."}
)
