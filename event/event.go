// Package event is the registry of numbered events that processes log. Each
// event has a number that never changes, a name, a log level and a description
// for operators. docs/EVENTS.md is generated from the registry.
package event

import "github.com/sirupsen/logrus"

// Number identifies an event permanently. Numbers are never reused.
type Number int

// Event is an entry of the registry.
type Event struct {
	Number Number
	Name   string
	Level  logrus.Level
	// Text describes what happened and what an operator can do about it.
	Text string
}

// Registry lists all events in ascending order of number. The hundreds digit is
// the subject: 1xx process, 2xx replicated log and state, 3xx membership and
// peers, 4xx requests, 5xx rates, 6xx placement, 7xx operators, 8xx gateway,
// 9xx stand-ins.
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
	EngineOrdered, PlacementChanged, MoveFailed, PlacementViewed, ReportFailed, PrefillHostLost, PrefillViewed, EngineCrashed, PartQuarantined, PartReleased, SettingsReloaded, SettingsRefused, GatewayFault, LinesLeftOut, RequestServed, AnswerBroken, PartEnded, AcceptFailed, ClientsRejected,
	EvacuationBegun, EvacuationEnded, UpstreamCold, CapacityViewed, RetriesDenied,
	StoreRestored, PositionLost, ConfigConflict,
	FakeStarted, FakeServed,
}

// Events of the process life cycle.
var (
	ProcessStarted = Event{101, "process_started", logrus.InfoLevel, "The process has read its settings and is opening its listeners."}
	ProcessReady   = Event{102, "process_ready", logrus.InfoLevel, "The VM has loaded the state and accepts requests."}
	StopRequested  = Event{103, "stop_requested", logrus.InfoLevel, "A graceful shutdown has started; requests in progress are finished first."}
	ProcessStopped = Event{104, "process_stopped", logrus.InfoLevel, "The process is exiting. The field cut, where set, is the number of requests that were aborted."}
	PanicCaught    = Event{106, "panic_caught", logrus.ErrorLevel, "A panic ended a request, a call from a peer or one iteration of a background loop. The process keeps running. This is a bug in the program; report it with the field stack."}
	StopForced     = Event{105, "stop_forced", logrus.WarnLevel, "The shutdown was forced, by a second signal or because requests did not end in time. The field cut, where set, is the number of requests that were aborted."}
)

// Events of the replicated log and of the state that is built from it.
var (
	LogUnreachable = Event{201, "log_unreachable", logrus.WarnLevel, "The platform's log does not answer. The current state stays active; commands are rejected until the log answers again."}
	LogReachable   = Event{202, "log_reachable", logrus.InfoLevel, "The platform's log answers again."}
	RecordSkipped  = Event{203, "record_skipped", logrus.WarnLevel, "A record of the log cannot be decoded. Every VM skips it. Check whether another program writes to the log."}
	RecordApplied  = Event{204, "record_applied", logrus.DebugLevel, "A record was accepted and applied on this VM."}
	RecordRejected = Event{205, "record_rejected", logrus.DebugLevel, "A record was rejected because the state does not allow it. The field reason says why."}

	StateIncomplete = Event{206, "state_incomplete", logrus.ErrorLevel, "Records that this VM needs have expired and the log holds no snapshot that covers them. The VM keeps its current state and asks its peers. If no VM is ready, the configuration must be created again."}
	SnapshotLoaded  = Event{207, "snapshot_loaded", logrus.InfoLevel, "The state was replaced by a newer snapshot. The field source is `log` or the address of a peer."}
	SnapshotWritten = Event{208, "snapshot_written", logrus.InfoLevel, "A complete snapshot of the state was written to the log."}
	SnapshotFailed  = Event{209, "snapshot_failed", logrus.WarnLevel, "A snapshot could not be written; it will be retried. If this continues, VMs that start after the retention time of the log cannot load the state from it."}
	RecordsMissing  = Event{210, "records_missing", logrus.WarnLevel, "The records that were read leave a gap after the applied offset. They are not applied; the VM looks for a snapshot."}
	RelayFailed     = Event{211, "relay_failed", logrus.DebugLevel, "A peer could not provide the records or the state that this VM is missing."}
	StateDiverged   = Event{212, "state_diverged", logrus.ErrorLevel, "This VM and the VM in the field vm derived different states from the same records. Restart the VM that runs a different version or differs from the majority. This is a bug in the program; report it."}
)

// Events of membership and peers.
var (
	PeerJoined      = Event{301, "peer_joined", logrus.InfoLevel, "Another VM has started to answer."}
	PeerSilent      = Event{302, "peer_silent", logrus.WarnLevel, "A VM has stopped answering. Its connection is closed and dialled again."}
	PeerLeaving     = Event{303, "peer_leaving", logrus.InfoLevel, "A VM announced a graceful shutdown."}
	ListUnreachable = Event{304, "vm_list_unreachable", logrus.WarnLevel, "The platform's VM list does not answer; the last known list stays in use."}
	PeerRestarted   = Event{305, "peer_restarted", logrus.InfoLevel, "The process of another VM was restarted."}
	VMCutOff        = Event{306, "vm_cut_off", logrus.WarnLevel, "This VM reaches neither the log nor a VM that reaches it. The setting cut_off_keys determines whether it still serves known keys."}
	VMReconnected   = Event{307, "vm_reconnected", logrus.InfoLevel, "This VM reaches the log again, or a VM that reaches it."}
)

// Events of requests.
var (
	RequestReceived = Event{401, "request_received", logrus.DebugLevel, "A caller's request passed the checks of its key and route."}
	RequestRefused  = Event{402, "request_refused", logrus.InfoLevel, "A request was rejected. The field kind is the error kind."}
	AttemptStarted  = Event{403, "attempt_started", logrus.DebugLevel, "A request is being sent to an upstream."}
	AttemptFailed   = Event{404, "attempt_failed", logrus.InfoLevel, "An attempt at an upstream failed. The field reason says why, framing how the end of its answer is marked: `length`, `chunked`, `connection` (by nothing but the end of the connection), or empty if there was no answer, evidence what decided about an end that only the connection marks (see docs/OPERATIONS.md), and parts the ids of the parts of its prompt that requests share."}
	RequestAnswered = Event{405, "request_answered", logrus.DebugLevel, "The complete response was sent to the caller."}
	AttemptWithheld = Event{407, "attempt_withheld", logrus.InfoLevel, "Just before the request was written, the upstream was found to be leaving or the directory to be too old. Nothing was sent; another upstream is chosen."}
	CallerCut       = Event{406, "caller_cut", logrus.InfoLevel, "The response to a connected caller was aborted. The field reason says why."}
)

// Events of placement.
var (
	PlacerClaimed     = Event{601, "placer_claimed", logrus.InfoLevel, "This VM became the placer of its data centre. The field epoch is its fencing token."}
	PlacerReplaced    = Event{602, "placer_replaced", logrus.InfoLevel, "Another VM became the placer of this data centre."}
	PlacementIntended = Event{603, "placement_intended", logrus.InfoLevel, "A change to the models or adapters of an engine was accepted and will be ordered. The field reason says why the change is made."}
	PlacementRejected = Event{604, "placement_rejected", logrus.InfoLevel, "A planned change was rejected, because a concurrent change came first or an invariant would have been violated. It is planned again."}
	OrderFailed       = Event{605, "engine_order_failed", logrus.WarnLevel, "An engine refused an order or did not answer. The order is retried; the memory for it stays reserved."}
	PlacementBroken   = Event{606, "placement_rule_broken", logrus.ErrorLevel, "The memory accounting of an engine violates an invariant. This is a bug in the program; report it."}
)

// Events of operator commands.
var (
	KeyHeardWithdrawn  = Event{701, "key_heard_withdrawn", logrus.InfoLevel, "This VM learned that the key was withdrawn and rejects it from now on."}
	OperatorCommand    = Event{702, "operator_command", logrus.InfoLevel, "An operator's command completed. The field verdict is its outcome."}
	WithdrawalAppended = Event{703, "withdrawal_appended", logrus.InfoLevel, "A withdrawal that already applied before it was recorded was appended to the log."}
)

// Events of the stand-ins, which simulate engines and services of the platform.
var (
	FakeStarted = Event{901, "standin_started", logrus.InfoLevel, "A stand-in is listening."}
	FakeServed  = Event{902, "standin_served", logrus.DebugLevel, "A stand-in served a request."}
)
