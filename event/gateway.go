package event

import "github.com/sirupsen/logrus"

// Events of the gateway.
var (
	ConfigApplied    = Event{801, "config_applied", logrus.InfoLevel, "A version of the operators' configuration was applied on this VM."}
	StoreLost        = Event{802, "store_lost", logrus.WarnLevel, "The platform's store does not answer. Requests with keys are rejected once the last confirmation of the configuration is too old."}
	StoreFound       = Event{803, "store_found", logrus.InfoLevel, "The platform's store answers again."}
	EntryOdd         = Event{804, "entry_odd", logrus.WarnLevel, "An entry of the directory is malformed and is ignored. The field reason says why."}
	UpstreamLeaving  = Event{805, "upstream_leaving", logrus.InfoLevel, "The directory says that an upstream takes no new requests. The field how is `draining` or `removed` (a restart counts as `removed`). doubted_ms is how long the upstream is still used while its removal is only suspected. cause is why the directory was read, asked_ms is the time since the store was asked, and before_ms is the age of the directory before this read."}
	DirectoryLate    = Event{806, "directory_late", logrus.WarnLevel, "The directory is too old to choose upstreams from. Requests wait until it is read. If the store does not answer for some time, they use the last known directory. The field reason is the error of the last read, if it failed."}
	DirectoryInTime  = Event{807, "directory_in_time", logrus.InfoLevel, "The directory is fresh again. The field late_ms is the maximum age that it reached."}
	UpstreamNotice   = Event{808, "upstream_notice", logrus.InfoLevel, "The response headers of an upstream announced that it is leaving, for how long it accepts no requests from this VM, or its request rate limit over all VMs in requests per second (empty once it announces none). The field request is the request that it answered."}
	NoticeOdd        = Event{809, "notice_odd", logrus.WarnLevel, "A notice in the response headers of an upstream is malformed. The header is ignored and the response is passed on to the caller. Logged once for each upstream and header."}
	NoticeTold       = Event{810, "notice_told", logrus.InfoLevel, "Another VM passed on a notice of an upstream (see 808). The field from is the id or the address of that VM."}
	JoinFailed       = Event{811, "join_failed", logrus.WarnLevel, "This VM could not renew its membership. Its share of the rates ends when the membership expires."}
	PartsDealt       = Event{812, "parts_dealt", logrus.InfoLevel, "The store assigned new partitions to this VM. They determine its share of the rates."}
	ClaimFailed      = Event{813, "claim_failed", logrus.WarnLevel, "The claim to the leadership (the role of coordinator) could not be read or written; it will be retried."}
	DutyTaken        = Event{814, "duty_taken", logrus.InfoLevel, "This VM became the coordinator. The field fence is its fencing token."}
	CoordinatorLost  = Event{815, "coordinator_lost", logrus.WarnLevel, "The coordinator does not answer. This VM continues with its own share of the rates and with the adapters that are already loaded on engines."}
	CoordinatorFound = Event{816, "coordinator_found", logrus.InfoLevel, "The coordinator answers again."}
	RelayFound       = Event{817, "relay_found", logrus.InfoLevel, "This VM follows the contents of the store through another VM. The field vm is the id of that VM."}
	RelayLost        = Event{818, "relay_lost", logrus.WarnLevel, "The VM that this VM follows did not answer, or its answer was not usable. The field reason says why. For one second, another VM or the store is asked instead."}
	KeeperLost       = Event{819, "keeper_lost", logrus.WarnLevel, "The host of a pool of spare rate tokens did not answer. The field reason says why. The next VM in order is the pool host for this VM until the failed one answers again."}
	KeeperChanged    = Event{820, "keeper_changed", logrus.InfoLevel, "This VM uses another host for a pool of spare rate tokens. The field vm is the new host, before is the previous one."}
	EngineOrdered    = Event{821, "engine_ordered", logrus.InfoLevel, "An order was sent to an engine. The fields hold the order and the answer."}
	PlacementChanged = Event{822, "placement_changed", logrus.InfoLevel, "The coordinator decided to load a model on an engine or to unload one. The fields load and unload name the models."}
	MoveFailed       = Event{823, "move_failed", logrus.WarnLevel, "A model could not be loaded on or unloaded from an engine, or the engine gave no report. The placement is planned again."}
	PlacementViewed  = Event{824, "placement_viewed", logrus.InfoLevel, "Input of the coordinator's planning, logged once a second: for each engine its requests in flight and its models (`+` marks a model that is being loaded), and for each model with demand the requested tokens per second."}
	ReportFailed     = Event{825, "report_failed", logrus.InfoLevel, "An engine gave no report, so it gets no orders. It is asked again at the next planning step."}
	PrefillHostLost  = Event{826, "prefill_host_lost", logrus.WarnLevel, "The VM that keeps the accounts of some engines' prompts did not answer. The field reason says why. The next VM in order keeps them for this VM until the lost one answers again; if there is none, prompts are sent without an account."}
	PrefillViewed    = Event{827, "prefill_viewed", logrus.InfoLevel, "The accounts of prompts that this VM keeps, logged once a second while prompts wait: for each engine the outstanding prompt tokens, the window, the number of waiting prompts, and the estimated time to read a token in ms."}
	CapacityViewed   = Event{861, "capacity_viewed", logrus.InfoLevel, "The capacity of the engines whose accounts this VM keeps, logged once a second while requests wait: for each engine its running requests and slots, the tokens of their prompts and answers and its memory in tokens, the running requests that are not in the account, and the requests that wait at this VM."}
	EngineCrashed    = Event{828, "engine_crashed", logrus.WarnLevel, "An engine refused connections right after it had broken off a run that had not gone well for half a second yet. The fields name the request and the parts of its prompt that requests share; other VMs are told."}
	PartQuarantined  = Event{829, "part_quarantined", logrus.ErrorLevel, "Requests whose prompt has this part are rejected: the engines named in the field engines crashed under it (count of them are kept), and fewer runs with it went well lately than engines crashed."}
	PartReleased     = Event{830, "part_released", logrus.WarnLevel, "Requests whose prompt has this part are served again: runs with it went well, another part explains its crashes, or its time is over: an hour after the last crash, or first some seconds if runs with it have ever gone well. In the last case one crash quarantines it again."}
	SettingsReloaded = Event{831, "settings_reloaded", logrus.InfoLevel, "The settings file was read again. The field changed tells whether it differs from the settings in use."}
	SettingsRefused  = Event{832, "settings_refused", logrus.ErrorLevel, "The changed settings file is invalid; the previous settings stay active."}
	GatewayFault     = Event{833, "gateway_fault", logrus.ErrorLevel, "A component of the gateway failed. The field reason says how."}
	LinesLeftOut     = Event{834, "lines_left_out", logrus.WarnLevel, "Log lines were dropped, because the log exceeded its rate limit or its reader was blocked. The field lines is the number of lines that were dropped before this one."}
	RequestServed    = Event{841, "request_served", logrus.InfoLevel, "The complete response of an upstream was sent to the caller. The fields describe how the upstream was chosen, the requests in flight at it (from this VM in own, from all VMs in all), the time to the first chunk and the longest pause between chunks after it. framing is as in 404."}
)
