package galenalatch

import "time"

// ServerLoad is the load of a router on one backend server. It is encoded as an
// array to save bytes, since it is sent several times a second.
type ServerLoad struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's id.
	Server uint32
	// Running is the number of running requests, at most 65535.
	Running uint16
	// PrefillMillis is the predicted time in milliseconds until the server
	// has prefilled the prompts of the requests without a first token, at most
	// 65535.
	PrefillMillis uint16
}

// WorkspaceUsage is the number of tokens that a workspace requested from a
// router and that the router started work on.
type WorkspaceUsage struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is a hash of the workspace's name.
	Workspace uint32
	// Requested and Started are the requested and the started tokens, in
	// thousands, within the sliding window of the fair shares.
	Requested uint32
	Started   uint32
}

// OtherUsage is the sum over the workspaces that have no WorkspaceUsage of
// their own in a message.
type OtherUsage struct {
	_ struct{} `cbor:",toarray"`
	// Count is the number of workspaces. In a sum over routers, a workspace
	// counts once for each router that left it out.
	Count uint32
	// Requested and Started are the requested and the started tokens, in
	// thousands, within the sliding window of the fair shares.
	Requested uint32
	Started   uint32
}

// RouterLoad is the load of a router. Each message replaces the previous one.
type RouterLoad struct {
	// Servers are the backend servers with running requests.
	Servers []ServerLoad `cbor:"s"`
	// Workspaces are those that requested most, and Others the rest; nil when
	// there is none.
	Workspaces []WorkspaceUsage `cbor:"w"`
	Others     *OtherUsage      `cbor:"o,omitempty"`
	// AgeTenths is the time for which the fleet has served requests, in
	// tenths of a second and at most the window of the fair shares. It tells
	// a router that joins whether the fleet has just started too. 0 means
	// less than a tenth of a second, or unknown.
	AgeTenths uint8 `cbor:"a,omitempty"`
	// Limits tells which servers name a limit or have ceased to.
	Limits []ServerLimit `cbor:"l,omitempty"`
	// Cold are the servers of which health answers have told that they are cold.
	Cold []ColdServer `cbor:"c,omitempty"`
	// Rollouts are the reports on running orders.
	Rollouts []RolloutReport `cbor:"r,omitempty"`
	// Speeds are what servers have said of their speed lately.
	Speeds []ServerSpeed `cbor:"v,omitempty"`
	// Streams are the reports on services whose plan of versions has changed lately.
	Streams []StreamReport `cbor:"e,omitempty"`
}

// StreamReport tells which streams of a service are left at some routers.
type StreamReport struct {
	_ struct{} `cbor:",toarray"`
	// Service is a hash of the service's name.
	Service uint32
	// Routers is the number of routers that have told.
	Routers uint16
	// Oldest and Newest are the oldest and the newest edition of the service's plan that
	// one of them has.
	Oldest uint64
	Newest uint64
	// Left has a bit for each slot of the plan in which a stream may be left at another
	// version than that of the plan.
	Left uint64
}

// ServerSpeed is what a server has said of its speed in an answer.
type ServerSpeed struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's id and start.
	Server uint32
	// SlowdownTenths is how much longer than usual work takes, in tenths.
	SlowdownTenths uint8
	// AgeTenths is the time since the answer in tenths of a second.
	AgeTenths uint8
}

// ColdServer is a server that is cold by its health answer.
type ColdServer struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's id and start.
	Server uint32
	// TenthsLeft is for how long it stays cold, in tenths of a second.
	TenthsLeft uint16
}

// ServerLimit is what a server's answer has told about its limit.
type ServerLimit struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's id and start.
	Server uint32
	// Named is unset when the server names no limit any more. MilliRate is the
	// limit in thousandths of requests per second.
	Named     bool
	MilliRate uint32
	// AgeTenths is the time since the answer in tenths of a second.
	AgeTenths uint16
}

// RemoteDataCentres is used in place of a router id for the sum of all routers
// of the other data centres, where loads are kept by router.
const RemoteDataCentres RouterID = ""

// DataCentreLoad is the sum of the loads of all routers of a data centre. The
// relay routers of the data centres send it to each other.
type DataCentreLoad struct {
	Load RouterLoad `cbor:"u"`
}

// RemoteLoad is the sum of the loads of the routers of all other data
// centres. A relay router sends it to the routers of its own data centre.
type RemoteLoad struct {
	Load RouterLoad `cbor:"u"`
}

// CrashState tells how far the request with a prompt part was when its server crashed.
// It only advances.
type CrashState uint8

// The states of a crash for a prompt part.
const (
	// CrashWaiting means that the request waited for its answer.
	CrashWaiting CrashState = iota + 1
	// CrashBegun means that the head of the answer was received and no event.
	CrashBegun
	// CrashCleared means that a request with the part had its first event after
	// the crash, so that the part did not cause it.
	CrashCleared
)

// PartCrash is the end of a server that a prompt part may have caused.
type PartCrash struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's id and start.
	Server uint32
	State  CrashState
}

// SuspectPart is a prompt part with the crashes that it may have caused.
type SuspectPart struct {
	_ struct{} `cbor:",toarray"`
	// Part is a hash of the model and the id of the part.
	Part uint64
	// AgeSeconds is the time since the newest crash or trial in seconds, Trials
	// the number of requests that were let through although the part was held.
	AgeSeconds uint32
	Trials     uint8
	Crashes    []PartCrash
}

// Age returns the time since the newest crash or trial.
func (p SuspectPart) Age() time.Duration { return time.Duration(p.AgeSeconds) * time.Second }

// PromptSuspects tells which prompt parts may crash backend servers. A message adds
// to what the receiver knows.
type PromptSuspects struct {
	Parts []SuspectPart `cbor:"p"`
}

// StoreAnswer is an answer of one of the store's feeds that a relay router
// forwards to the routers of its data centre. It holds the changes from After
// to Version. An answer without changes proves that there were none.
type StoreAnswer struct {
	// Feed is "operators", "servers" or the name of one of the system's own
	// tables.
	Feed string `cbor:"feed"`
	// Era is the era of After and Version, which are versions of the store.
	Era     uint64 `cbor:"era,omitempty"`
	After   uint64 `cbor:"after"`
	Version uint64 `cbor:"version"`
	// Clock is the store's monotonic clock at the time of the answer.
	Clock time.Duration `cbor:"clock"`
	// Configuration, OutOfService and BackInService are set in the operators'
	// feed, as in OperatorUpdate.
	Configuration *Configuration `cbor:"configuration,omitempty"`
	OutOfService  []DataCentre   `cbor:"out,omitempty"`
	BackInService []DataCentre   `cbor:"in,omitempty"`
	// Rollouts is set in the operators' feed, as in OperatorUpdate.
	Rollouts []RolloutOrder `cbor:"rollouts,omitempty"`
	// Registered and Removed are set in the servers' feed, as in ServerUpdate.
	Registered []Registration `cbor:"present,omitempty"`
	Removed    []ServerID     `cbor:"gone,omitempty"`
	// Rows is set in the feeds of the system's own tables.
	Rows []StoreRow `cbor:"rows,omitempty"`
}

// Start returns the position after which the answer holds the changes.
func (a StoreAnswer) Start() Position { return Position{Era: a.Era, Version: a.After} }

// Stamp returns the stamp of the answer. It is marked as relayed.
func (a StoreAnswer) Stamp() Stamp {
	return Stamp{Position: Position{Era: a.Era, Version: a.Version}, Clock: a.Clock, Relayed: true}
}

// MessageType implements Message.
func (RouterLoad) MessageType() string { return "routerUse" }

// MessageType implements Message.
func (DataCentreLoad) MessageType() string { return "dataCentreUse" }

// MessageType implements Message.
func (RemoteLoad) MessageType() string { return "elsewhereUse" }

// MessageType implements Message.
func (PromptSuspects) MessageType() string { return "promptSuspects" }

// MessageType implements Message.
func (StoreAnswer) MessageType() string { return "storeAnswer" }
