package events

import "github.com/charmbracelet/log"

// The events. The number of a removed event is never used for another one.
const (
	RouterStarted          Number = 1001
	RouterReady            Number = 1002
	RouterNotReady         Number = 1003
	DrainStarted           Number = 1004
	DrainEnded             Number = 1005
	RouterStopped          Number = 1006
	SettingsInvalid        Number = 1007
	ListenerFailed         Number = 1008
	RequestEnded           Number = 2001
	RequestRefused         Number = 2002
	StreamBroken           Number = 2003
	RequestRetried         Number = 2005
	OutcomeUnknown         Number = 2006
	QueueFull              Number = 2007
	CallerRejected         Number = 2008
	GrantRejected          Number = 2009
	LeaseAcquired          Number = 3001
	LeaseReleased          Number = 3002
	LeaseLost              Number = 3003
	LeaseLapsed            Number = 3004
	LeaseRenewed           Number = 3005
	CellHandedOver         Number = 3006
	CellRebuilt            Number = 3007
	EntryRouterLost        Number = 3008
	ServerFound            Number = 4001
	ServerState            Number = 4002
	ServerRestarted        Number = 4003
	ServerUnreachable      Number = 4004
	ServerReportLost       Number = 4005
	ServerLeaving          Number = 4006
	CatalogueApplied       Number = 5001
	CatalogueStale         Number = 5002
	CatalogueFresh         Number = 5003
	CatalogueInvalid       Number = 5004
	ChangeAccepted         Number = 5005
	ChangePending          Number = 5006
	ChangeConflict         Number = 5007
	OperatorRejected       Number = 5008
	OutOfService           Number = 5009
	BackInService          Number = 5010
	RoutersChanged         Number = 5012
	ChangeRefused          Number = 5011
	PlatformDown           Number = 6001
	PlatformUp             Number = 6002
	InstancesRead          Number = 6005
	ClaimUnfinished        Number = 6006
	ClaimFailed            Number = 6007
	PeerConnected          Number = 7001
	PeerLost               Number = 7002
	PeerRejected           Number = 7003
	PeerQueueFull          Number = 7005
	RequestPlaced          Number = 8001
	AttemptEnded           Number = 8002
	GatewayRefused         Number = 8003
	GatewayAnswered        Number = 8004
	PartHeld               Number = 8005
	PartReleased           Number = 8006
	LimitChanged           Number = 8007
	LimitInvalid           Number = 8008
	RequestPanicked        Number = 8009
	LeavingAnnounced       Number = 8010
	PauseRequested         Number = 8011
	ColdByHealth           Number = 8012
	CallersGaveWay         Number = 8013
	LoadInvalid            Number = 8021
	ConfigurationApplied   Number = 8101
	DataCentreOutOfService Number = 8102
	DataCentreReturned     Number = 8103
	ServerEntry            Number = 8104
	ServerEntryRemoved     Number = 8105
	EntryInvalid           Number = 8106
	StoreUnreachable       Number = 8107
	StoreReachable         Number = 8108
	MembersChanged         Number = 8109
	RolloutOrdered         Number = 8110
	RolloutChanged         Number = 8111
	RolloutStopped         Number = 8112
	RolloutWritten         Number = 8113
	StoreRestored          Number = 8114
	PlanApplied            Number = 8115
	PlanWritten            Number = 8116
	SettingsReloaded       Number = 8201
	ProcessStatus          Number = 8202
	EngineSpeed            Number = 8203
	KeptChanged            Number = 8204
	RequestsRejected       Number = 8205
	WorkspacesServed       Number = 8206
)

// event is the level and message of an event, with its meaning and the action to
// take, for docs/events.md.
type event struct {
	level   log.Level
	message string
	meaning string
	action  string
}

const none = "Nothing."

var table = map[Number]event{
	RouterStarted: {log.InfoLevel, "router started",
		"The process has read its settings and listens on its addresses.", none},
	RouterReady: {log.InfoLevel, "router ready",
		"`/readyz` succeeds: the router holds a fresh catalogue.", none},
	RouterNotReady: {log.WarnLevel, "router not ready",
		"`/readyz` fails; `error` is the reason. The load balancer sends requests to other routers.",
		"Nothing during a drain. Otherwise look for 5002 and 6001 at the same time."},
	DrainStarted: {log.InfoLevel, "drain started",
		"The process received SIGTERM. It serves new requests for the drain delay, hands over its cells and waits for running requests.", none},
	DrainEnded: {log.InfoLevel, "drain ended",
		"No request is left, or the drain limit has passed; `error` is set when requests were aborted. `requests` is their number at a router, `cut` the number of connections that a gateway closed at the limit, `late` the number of requests that it refused because they were read too long after the signal.",
		"When `requests` or `cut` is not 0, raise `drain.limit`."},
	RouterStopped: {log.InfoLevel, "router stopped", "The process ends.", none},
	SettingsInvalid: {log.ErrorLevel, "settings invalid",
		"The process ends because a setting is invalid. The error names the field, its value and what is allowed.",
		"Correct the file and start the process again."},
	ListenerFailed: {log.ErrorLevel, "listener failed",
		"The process cannot listen on an address of its settings.",
		"Check that the address belongs to the instance and that no other process uses the port."},
	RequestEnded: {log.DebugLevel, "request ended", "A request was answered.", none},
	RequestRefused: {log.DebugLevel, "request refused",
		"A request was not run; `error` begins with the error kind.", "When there are many, see `OPERATIONS.md` for the kind."},
	StreamBroken: {log.WarnLevel, "stream broken",
		"A backend server ended a stream early and it could not be resumed. The caller received an error event.",
		"When most of them concern one server, take it out of service."},
	RequestRetried: {log.InfoLevel, "request retried",
		"A request that may be repeated is sent to another backend server.", "When most of them concern one server, take it out of service."},
	OutcomeUnknown: {log.WarnLevel, "outcome unknown",
		"A request that may not be repeated may have run. The caller was told so, and its idempotency key stays claimed.",
		"The owner of the service can check by the request id whether it ran."},
	QueueFull: {log.WarnLevel, "queue full",
		"Requests of a workspace are refused because its queue is full. Logged at most once a minute per workspace.",
		"Other workspaces are not affected. Raise `maxWaiting` only when the workspace is entitled to more."},
	CallerRejected: {log.DebugLevel, "caller rejected", "A caller's key is missing or unknown.", none},
	GrantRejected: {log.InfoLevel, "grant rejected",
		"The router that holds a request did not use its grant; `error` is the reason: an old epoch, an expired lease, a server that restarted or is out of service, or a claim that could not be written.",
		"Expected after a cell got a new dispatcher. When it continues, look for 3003 on the sender of the grant."},
	LeaseAcquired: {log.InfoLevel, "lease acquired", "The router is now the dispatcher of a cell.", none},
	LeaseReleased: {log.InfoLevel, "lease released", "The router released the lease of a cell.", none},
	LeaseLost: {log.WarnLevel, "lease lost",
		"Another router holds the cell with a newer epoch. This router dropped the cell's state.",
		"A single one is expected after the process was suspended. When it repeats, check the instance for lack of CPU time."},
	LeaseLapsed: {log.WarnLevel, "lease lapsed",
		"The lease could not be renewed. The router continues with the servers that it has seen to be warm.",
		"Look for 6001. Restore the platform within 2 hours; after that the router gives up the cell."},
	LeaseRenewed: {log.InfoLevel, "lease renewed after a lapse", "The platform answers again and the cell is held as before.", none},
	CellHandedOver: {log.InfoLevel, "cell handed over",
		"The router transferred the state of a cell to its next dispatcher during a graceful shutdown.", none},
	CellRebuilt: {log.InfoLevel, "cell rebuilt",
		"A new dispatcher starts to grant, because it has the reports of all routers or because 2 seconds have passed; `after` is the time since it took over the cell.",
		"When `after` is 2 seconds, look for 7002: a listed router sent no report."},
	EntryRouterLost: {log.WarnLevel, "entry router lost",
		"A router that held requests was not connected for 10 seconds. The slots of its requests are free again.",
		"Check whether the instance is running."},
	ServerFound: {log.InfoLevel, "backend server found", "The instance list contains a new backend server. It is cold.", none},
	ServerState: {log.InfoLevel, "backend server changed state",
		"`from` and `to` are states: cold, warming, warm, suspect, leaving or out.",
		"When a server stays cold under load, check its own log."},
	ServerRestarted: {log.WarnLevel, "backend server restarted",
		"The boot identity changed: the server is a new process, and it is cold.",
		"When it repeats, take the server out of service and check its own log."},
	ServerUnreachable: {log.WarnLevel, "backend server unreachable",
		"A connection to a backend server could not be opened. No byte of the request was sent, and it waits for another grant.",
		"When it repeats for one server, take it out of service; for all of a data centre, take that out."},
	ServerReportLost: {log.WarnLevel, "backend server does not report",
		"There was no load report for 3 seconds. The server is suspect and will be cold.",
		"Check the server's metrics page."},
	ServerLeaving:    {log.InfoLevel, "backend server leaving", "The platform will stop the instance. It gets no new work.", none},
	CatalogueApplied: {log.InfoLevel, "catalogue version applied", "The router applied a newer version of the catalogue.", none},
	CatalogueStale: {log.ErrorLevel, "catalogue not fresh",
		"The router could confirm its catalogue neither with the platform nor with more than half of the routers for 2 seconds. It sends no new work.",
		"Check the network between this router, the platform and the other routers."},
	CatalogueFresh: {log.InfoLevel, "catalogue fresh", "The router confirmed its catalogue and sends new work.", none},
	CatalogueInvalid: {log.ErrorLevel, "catalogue change invalid",
		"A stored change could not be decoded or applied. The router keeps its version of the catalogue.",
		"Compare the program versions of the routers. Revert the change by a new one."},
	ChangeAccepted: {log.InfoLevel, "change accepted", "More than half of the listed routers have applied an operator's change.", none},
	ChangePending: {log.WarnLevel, "change pending",
		"An operator's change is stored, but not yet held by more than half of the listed routers.",
		"Repeat `galenalatch status` until the version is held. Remove routers that no longer run from the instance list."},
	ChangeConflict: {log.InfoLevel, "change conflict",
		"Another operator's change was stored first. This one was not stored.", "Read the current version and apply the change again."},
	ChangeRefused: {log.WarnLevel, "change refused",
		"An operator's change was not stored; `error` is the reason. With the kind `unclear` it may have been stored.",
		"Look for its id in the history before you apply it again."},
	OperatorRejected: {log.WarnLevel, "operator rejected",
		"A request to the operators' API had no valid token.", "When it repeats, find out who sends it."},
	OutOfService: {log.WarnLevel, "out of service",
		"Operators took a data centre or backend server out of service. It gets no new work.", none},
	RoutersChanged: {log.InfoLevel, "list of routers changed",
		"The router changed the catalogue's list of routers to follow the instance list, or tried to.",
		"Nothing, unless the error is not a conflict and repeats: then no version can be accepted by the new routers."},
	BackInService: {log.InfoLevel, "back in service",
		"Operators returned a data centre or backend server to service. It is cold.", none},
	PlatformDown: {log.ErrorLevel, "platform does not answer",
		"A call to the table, object store or instance list failed or took longer than a second. Logged once until it answers again.",
		"Requests are still served, but those with an idempotency key and changes of the catalogue are refused. Inform the platform's operators."},
	PlatformUp:    {log.InfoLevel, "platform answers again", "`after` is the length of the outage.", none},
	InstancesRead: {log.DebugLevel, "instance list changed", "The instance list differs from the one before.", none},
	ClaimUnfinished: {log.WarnLevel, "key claimed by an unfinished call",
		"The idempotency key of a call is claimed by another call that has not finished. The call was answered with an unknown outcome.",
		"Expected after a router was killed. The owner of the service can check by the key whether the other call ran."},
	ClaimFailed: {log.ErrorLevel, "answers of claims not stored",
		"A router stops before the answers to `claims` calls with an idempotency key were stored. Repeated calls will get an unknown outcome.",
		"Look for 6001."},
	PeerConnected: {log.InfoLevel, "peer connected", "A connection to another router was opened.", none},
	PeerLost: {log.WarnLevel, "peer lost",
		"The connection to another router broke or timed out, or none could be opened; the latter is logged at most once a minute per router.", "Expected when a router stops. Otherwise check the network."},
	PeerRejected: {log.ErrorLevel, "peer rejected",
		"A router has no valid token, rejects the token of this router, or uses another version of the protocol. Logged at most once a minute per router.",
		"Compare the tokens and program versions of the two routers."},
	PeerQueueFull: {log.WarnLevel, "peer queue full",
		"Control messages to a router were dropped because it reads too slowly. Logged at most once a minute per router.",
		"Check that instance for lack of CPU time."},
	RequestPlaced: {log.InfoLevel, "request placed",
		"A backend server was selected for a request. The fields are the inputs: the version of the configuration and the age of the proof that it is the newest, the predicted time to the first token, the prompt tokens that the server is expected to have in its cache (`cached`), the rank of the server among the homes of the prompt (`home`, 0 for another server), and the cost of a stream in tokens (`cost`).", none},
	AttemptEnded: {log.InfoLevel, "attempt failed",
		"A request to a backend server failed; `error` is the reason. The request may be sent to another server. For a request that has had no event of its answer yet, `begun` says whether the head of an answer was received, `serverEnded` whether the server has ended without a plan, and `parts` are the parts of its prompt without the last one.",
		"When most of them concern one server, examine it."},
	GatewayRefused: {log.InfoLevel, "request not run",
		"A request was refused and has not run. `error` begins with the error kind: `queueFull` for lack of capacity, `catalogueStale` when the configuration could not be confirmed to be the newest, `serverUnreached` when no server could be reached. `queue` is the part of the predicted time behind other requests.",
		"See `OPERATIONS.md`."},
	GatewayAnswered: {log.InfoLevel, "request answered",
		"The final answer of a request that was sent to a backend server. A status of 502, 504 or 0 (connection closed) means that the outcome is unknown.", none},
	PartHeld: {log.WarnLevel, "prompt part held",
		"Servers crashed when they began a response to prompts with this part, or with parts that come together with it. Requests with it are refused with `promptHeld`. `crashes` is the number of servers in the fleet; `part` is empty on a router that has had no request with it, and `key` is the same on all routers.",
		"Find the caller by 8003 with the same part. The part is tried again by one request after 5 and 10 minutes."},
	PartReleased: {log.InfoLevel, "prompt part released",
		"A request with the prompt part had the first event of its answer. Requests with it are sent again.", none},
	LimitChanged: {log.InfoLevel, "server limit changed",
		"An answer of a backend server named another limit than before (`rate`, in requests per second from all routers together), or none any more.",
		"When many servers name limits for long, the service needs more servers."},
	LimitInvalid: {log.WarnLevel, "server limit invalid", "A backend server named a limit that is no decimal number. It counts as no limit.",
		"Tell the owner of the service."},
	RequestPanicked: {log.ErrorLevel, "request panicked",
		"A defect of the router ended a request, whose connection was closed; `error` names the place in the code. Other requests go on.",
		"Report the line to the developers. When it repeats, look for what its requests have in common."},
	LeavingAnnounced: {log.InfoLevel, "server announced leaving",
		"A backend server said in an answer that it leaves. This router sends it no new requests, whatever its entry says; running ones go on.",
		"When the server goes on serving others for long, tell the owner of the service: only a new start of the server ends this."},
	CallersGaveWay: {log.WarnLevel, "callers gave way",
		"Since the last line, callers were refused or their connections closed because of what they hold: `needed` because others needed the memory or the place, `slowBody` because a body came too slowly, `unreadAnswer` because an answer was not read, `full` new connections because too many were open. `connections` and `bytes` are what callers hold now. At most one line in 10 s.",
		"See [OPERATIONS.md](OPERATIONS.md#crowds-of-callers)."},
	PauseRequested: {log.InfoLevel, "server requested pause",
		"A backend server answered 503 with a time (`asked`) for which it wants no requests of this router. `wait` is that time and a part that differs between routers.",
		"When servers ask for pauses often, the service needs more servers. While all of them pause, requests are refused with 8003."},
	ColdByHealth: {log.InfoLevel, "server cold by its health",
		"A backend server became cold while the store did not respond, and said so when this router asked for its health. The other routers are told.", none},
	LoadInvalid: {log.WarnLevel, "server load invalid",
		"A backend server told a load with wrong figures (`value`). Its speed counts as usual, until it tells another one.",
		"Tell the owner of the service."},
	ConfigurationApplied: {log.InfoLevel, "configuration applied",
		"A newer version of the configuration replaced the previous one.", none},
	DataCentreOutOfService: {log.InfoLevel, "data centre out", "Operators took a data centre out of service. Its backend servers get no new requests.", none},
	DataCentreReturned:     {log.InfoLevel, "data centre in", "Operators returned a data centre to service. Its backend servers are cold.", none},
	ServerEntry:            {log.InfoLevel, "backend server listed", "A backend server published or changed its entry.", none},
	ServerEntryRemoved: {log.InfoLevel, "backend server gone",
		"The entry of a backend server was removed, cannot be decoded, or was missing in a listing.", none},
	EntryInvalid: {log.WarnLevel, "entry invalid", "A row in a table of operators or backend servers cannot be decoded. The entry of a backend server then counts as removed; an earlier configuration stays in force. The other rows are used.",
		"Find out who wrote the row."},
	StoreUnreachable: {log.WarnLevel, "store unreachable",
		"A call of the store for a feed failed after the time `took`. The router continues with its copy; requests with keys are refused once the configuration was not confirmed for too long.",
		"Check the store when many routers log this at the same time, otherwise the network of the instance."},
	StoreReachable: {log.InfoLevel, "store reachable again", "The calls of the store for a feed succeed again; `after` is the length of the outage.", none},
	StoreRestored: {log.WarnLevel, "store restored",
		"The store has come back from an older copy and lost what it had acknowledged since. The router has read the table of a feed again. `era` and `store` are the position that it knew before, `newEra` and `newStore` that of the table.",
		"See \"The store came back from a copy\" in `OPERATIONS.md`."},
	MembersChanged: {log.InfoLevel, "routers changed",
		"The list of routers in the store has changed.", none},
	RolloutOrdered: {log.InfoLevel, "roll-out ordered",
		"Operators ordered that the traffic of a service move to the servers of a version. `order` is the version of the order's row.", none},
	RolloutChanged: {log.InfoLevel, "roll-out changed",
		"The status of a roll-out in the store has changed. `why` is the evidence of the router that wrote it; the other fields are what this router knew: `requests` to the service since the order and `exposed` of them to the new version, the routers that are listed, `known` of them with a report in this step, and `settled` of them that have left the old version.",
		"For the state rolledBack, `why` names the route and the answers; examine the version. When a roll-out stays in one step, see `OPERATIONS.md`."},
	RolloutStopped: {log.WarnLevel, "new version stopped",
		"The answers show that the new version is worse than the old one. This router sends it no more requests of this order, whatever the store says.",
		"Examine the version; the roll-out ends with the state rolledBack."},
	RolloutWritten: {log.InfoLevel, "roll-out status written",
		"This router wrote the status of a roll-out. After an error the write may have happened; the status table shows it.",
		"When errors repeat, look for 8107."},
	PlanApplied: {log.InfoLevel, "plan of versions changed",
		"The router has taken over another plan of the versions that begin the streams of a service. `slots` is the number of slots of each version, `unsettled` the number of those that moved lately, so that older streams may be left at another version. Only the router that began a stream of these can resume it.",
		"When editions follow each other for long, find out why the servers of the versions change. See \"Servers of several versions\" in `OPERATIONS.md`."},
	PlanWritten: {log.InfoLevel, "plan of versions written",
		"This router wrote the plan of a service. After an error the write may have happened; 8115 shows it.",
		"When errors repeat, look for 8107."},
	SettingsReloaded: {log.InfoLevel, "settings reloaded", "The process received SIGHUP and read its settings file again. An `error` means that it keeps the old settings.",
		"Correct the file when there is an error."},
	ProcessStatus: {log.InfoLevel, "process status",
		"The resources of the process: connections from callers, streams, idle connections to backend servers, heap and garbage collector. `processorWait` is the time within which nine of ten goroutines got the processor, `firstReadWait` the mean time from the accept of a connection to its first bytes, `shed` the number of connections whose requests were rejected unparsed because of overload.",
		"When `callers` or `heap` approach the limits of the settings, or `processorWait` stays above 0.2 s, the instance is too small for its share of callers."},
	EngineSpeed: {log.InfoLevel, "engine speed changed",
		"The times to the first token show that the engines of a service read prompts in `factor` times the time that `readRate` in the settings implies, or that `first` is the time from the end of reading to the first token. Predictions use the new values.",
		"When `factor` is far from 1 after each start, set `readRate` and `firstToken` to the values of the engines."},
	RequestsRejected: {log.WarnLevel, "requests rejected",
		"Requests of the last second were rejected unparsed, since the router lacks processor time or has too many callers: `connections` of them, in `workspaces` by NAME:REQUESTS:TOKENS for those with most tokens. Of `unknown` the workspace is not known, nor that of connections that were closed at once. `usage` has what these workspaces requested and started at this router in the last 4 s, as NAME:REQUESTED:STARTED. `callers` is the number of open connections.",
		"When a workspace is named for long, its callers meet too few routers: look for 8202 and add instances in their data centre."},
	WorkspacesServed: {log.InfoLevel, "workspaces served",
		"What the workspaces that asked for most tokens asked and got at this router in the last second, as NAME:REQUESTED:STARTED:OFBEGUN in `workspaces`, and all of them together in `requested` and `started`. OFBEGUN is what the workspace has in the last 4 s of its share of all tokens that the fleet has started, as this router knows it. `least` is what the worst served workspace of the fleet has of what it is due. Written only in seconds in which a workspace got less than it requested.",
		"Add up the lines of all routers to see what a workspace gets of the fleet; lines on single requests may be lost at a busy router. When a workspace with OFBEGUN below 1 gets little, see 8003 and 8205 of its routers."},
	KeptChanged: {log.InfoLevel, "kept prompts changed",
		"First tokens show that the engines of a service keep fewer than half of the shared prompt parts for which they are the first home, or again more. `kept` is the part that they keep, `forgetful` the number of servers that keep fewer than half. Predictions stop counting on kept parts when fewer than a quarter of the first tokens confirm them.",
		"When `kept` stays low, the memory of the engines is too small for their prompts, or smaller than configured. When `forgetful` is small, examine these servers."},
}
