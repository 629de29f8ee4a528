package galenalatch

import "time"

// Message is a message between routers. The list of messages is closed.
type Message interface {
	// MessageType returns the name of the message on the wire.
	MessageType() string
}

// Hello opens a connection between routers.
type Hello struct {
	Router RouterID `cbor:"router"`
	// Start is random for each start of the process.
	Start      string     `cbor:"start"`
	DataCentre DataCentre `cbor:"dataCentre"`
	Protocol   int        `cbor:"protocol"`
	// HeartbeatMillis is the longest time that the sender lets pass without
	// sending on this connection.
	HeartbeatMillis int64 `cbor:"heartbeatMillis,omitempty"`
}

// Holder says which router holds the lease of a cell.
type Holder struct {
	Cell   CellID   `cbor:"cell"`
	Router RouterID `cbor:"router"`
	Epoch  Epoch    `cbor:"epoch"`
}

// Heard is the age of the newest word of a router, in milliseconds.
type Heard struct {
	Router    RouterID `cbor:"router"`
	AgeMillis int64    `cbor:"ageMillis"`
}

// GossipAsk asks for a Gossip. It carries the asker's own state too.
type GossipAsk struct {
	// Stamp is returned in the answer, so that ages count from before the
	// question was sent.
	Stamp  int64  `cbor:"stamp"`
	Gossip Gossip `cbor:"gossip"`
}

// Gossip is what a router knows about the fleet.
type Gossip struct {
	Echo    int64   `cbor:"echo"`
	Version Version `cbor:"version"`
	// ConfirmedAgeMillis is the age of the newest read of the catalogue's
	// head row that showed Version, or -1.
	ConfirmedAgeMillis int64 `cbor:"confirmedAgeMillis"`
	// ListSum is a checksum of the sorted list of routers whose majority
	// counts. A GossipAsk with a ListSum asks for Heard or Ages.
	ListSum uint64 `cbor:"listSum,omitempty"`
	// Heard is sent only while the platform's table is not confirmed, to
	// routers with another list.
	Heard []Heard `cbor:"heard,omitempty"`
	// Ages says the same to routers with the same list: one byte for each
	// router of the list in units of 10 ms, 255 for unknown.
	Ages []byte `cbor:"ages,omitempty"`
	// Holders are those that changed a short time ago or that the receiver
	// may lack.
	Holders []Holder `cbor:"holders,omitempty"`
	// HoldersSum is a checksum of all holders that the sender knows.
	HoldersSum uint64 `cbor:"holdersSum,omitempty"`
}

// ChangesAsk asks for the catalogue changes after a version.
type ChangesAsk struct {
	After Version `cbor:"after"`
}

// Changes carries encoded catalogue changes in order of their versions.
type Changes struct {
	Changes [][]byte `cbor:"changes"`
}

// Running is the record of a granted request.
type Running struct {
	Request   RequestID     `cbor:"request"`
	Workspace WorkspaceName `cbor:"workspace"`
	Class     Class         `cbor:"class"`
	Server    ServerID      `cbor:"server"`
	Boot      BootID        `cbor:"boot"`
	Estimate  int64         `cbor:"estimate"`
	Units     int64         `cbor:"units"`
	// Home is the cell in which the request waited.
	Home CellID `cbor:"home"`
	// Slot is the lent slot that the request uses, if any.
	Slot string `cbor:"slot,omitempty"`
	// ServerCell is the cell to which the server belongs.
	ServerCell CellID `cbor:"serverCell"`
	// Serial is the serial number of the grant.
	Serial uint64 `cbor:"serial,omitempty"`
}

// Report tells a new holder of a cell what an entry has waiting in it and
// running on its servers or on slots lent to it.
type Report struct {
	Cell    CellID    `cbor:"cell"`
	Epoch   Epoch     `cbor:"epoch"`
	Waiting []Waiting `cbor:"waiting"`
	Running []Running `cbor:"running"`
	// More says that another part of the report follows, because one
	// message could not hold it.
	More bool `cbor:"more,omitempty"`
}

// Enqueue asks the holder of a home cell for a grant.
type Enqueue struct {
	Cell    CellID  `cbor:"cell"`
	Waiting Waiting `cbor:"waiting"`
}

// Withdraw says that a waiting request needs no grant any more.
type Withdraw struct {
	Cell    CellID    `cbor:"cell"`
	Request RequestID `cbor:"request"`
}

// Used is the cost so far of one running request.
type Used struct {
	// Request may be empty when Serial is set.
	Request RequestID `cbor:"request,omitempty"`
	Units   int64     `cbor:"units"`
	// Serial is the serial number of the grant.
	Serial uint64 `cbor:"serial,omitempty"`
}

// Progress carries the cost so far of the entry's running requests.
type Progress struct {
	Cell CellID `cbor:"cell"`
	Used []Used `cbor:"used"`
}

// Finish ends a granted request.
type Finish struct {
	Cell    CellID    `cbor:"cell"`
	Request RequestID `cbor:"request"`
	Units   int64     `cbor:"units"`
	Outcome Outcome   `cbor:"outcome"`
	// Failed says that the server broke the connection or had another boot
	// identity than the grant named.
	Failed bool `cbor:"failed"`
	// Unreached says that no connection to the server could be made. Whether
	// it has restarted is not known.
	Unreached bool `cbor:"unreached,omitempty"`
	// Completed says that the server answered the request.
	Completed bool `cbor:"completed"`
	// Serial is the serial number of the grant that ends. Zero stands for
	// the only grant of the request.
	Serial uint64 `cbor:"serial,omitempty"`
}

// Grant lets an entry send one request to one backend server.
type Grant struct {
	Cell    CellID    `cbor:"cell"`
	Epoch   Epoch     `cbor:"epoch"`
	Request RequestID `cbor:"request"`
	Server  ServerID  `cbor:"server"`
	Address string    `cbor:"address"`
	Boot    BootID    `cbor:"boot"`
	// DataCentre is the data centre of the server.
	DataCentre DataCentre `cbor:"dataCentre"`
	// ServerCell and ServerEpoch name the cell to which the server belongs.
	ServerCell  CellID `cbor:"serverCell"`
	ServerEpoch Epoch  `cbor:"serverEpoch"`
	// Slot is the lent slot that is used, if any.
	Slot string `cbor:"slot,omitempty"`
	// Lapsed says that the holder could not renew its lease.
	Lapsed bool `cbor:"lapsed"`
	// Serial increases with every grant of the cell, also from one epoch to
	// the next. An entry accepts a grant of a request only when its serial
	// is higher than all those it has seen for this request and cell.
	Serial uint64 `cbor:"serial,omitempty"`
	// Ask asks what became of the grant and does not allow a start. An entry
	// that does not run the grant answers with Finish.
	Ask bool `cbor:"ask,omitempty"`
}

// Refuse tells an entry that a request will get no grant.
type Refuse struct {
	Cell             CellID    `cbor:"cell"`
	Request          RequestID `cbor:"request"`
	Kind             Kind      `cbor:"kind"`
	RetryAfterMillis int64     `cbor:"retryAfterMillis"`
}

// LeaseAsk asks a holder how long its lease still lasts.
type LeaseAsk struct {
	Cell  CellID `cbor:"cell"`
	Stamp int64  `cbor:"stamp"`
}

// LeaseState answers LeaseAsk. The lease lasts at least RemainingMillis
// counted from the asker's stamp.
type LeaseState struct {
	Cell            CellID `cbor:"cell"`
	Epoch           Epoch  `cbor:"epoch"`
	Echo            int64  `cbor:"echo"`
	RemainingMillis int64  `cbor:"remainingMillis"`
	Lapsed          bool   `cbor:"lapsed"`
	// Reported says that the holder has the asker's report.
	Reported bool `cbor:"reported,omitempty"`
}

// Summary is the state of a cell for the other cells of its pool.
type Summary struct {
	Cell  CellID `cbor:"cell"`
	Epoch Epoch  `cbor:"epoch"`
	// VirtualTime is the lowest counter among the backlogged workspaces.
	VirtualTime int64 `cbor:"virtualTime"`
	Waiting     int   `cbor:"waiting"`
	Free        int   `cbor:"free"`
}

// Lend lets another cell of the pool use one slot of a server once.
type Lend struct {
	// From is the lending cell, To the borrowing one.
	From       CellID     `cbor:"from"`
	Epoch      Epoch      `cbor:"epoch"`
	To         CellID     `cbor:"to"`
	Slot       string     `cbor:"slot"`
	Server     ServerID   `cbor:"server"`
	Address    string     `cbor:"address"`
	Boot       BootID     `cbor:"boot"`
	DataCentre DataCentre `cbor:"dataCentre"`
	// TermMillis is how long the slot may wait for use.
	TermMillis int64 `cbor:"termMillis"`
	// ToEpoch is the epoch of the borrowing holder. Holders of other epochs
	// must not use the slot.
	ToEpoch Epoch `cbor:"toEpoch"`
	// Ask asks what became of the slot and is no offer. The borrower answers
	// with GiveBack.
	Ask bool `cbor:"ask,omitempty"`
}

// GiveBack returns a lent slot, used or not.
type GiveBack struct {
	// From is the borrowing cell, To the lending one.
	From      CellID `cbor:"from"`
	To        CellID `cbor:"to"`
	Slot      string `cbor:"slot"`
	Used      bool   `cbor:"used"`
	Failed    bool   `cbor:"failed"`
	Completed bool   `cbor:"completed"`
	// Assumed says that the borrower has no entry's word for the end.
	Assumed bool `cbor:"assumed,omitempty"`
	// InUse answers a question: the slot is not returned, and an entry has
	// confirmed that a request runs on it.
	InUse bool `cbor:"inUse,omitempty"`
}

// Handover passes a cell to its next holder during a graceful shutdown.
type Handover struct {
	Cell     CellID                `cbor:"cell"`
	Epoch    Epoch                 `cbor:"epoch"`
	Counters map[string]int64      `cbor:"counters"`
	Warm     map[string]WarmServer `cbor:"warm"`
}

// WarmServer is the warm state of a server at a handover.
type WarmServer struct {
	Boot      BootID `cbor:"boot"`
	Completed int    `cbor:"completed"`
}

// ServerUse is what a router has under way at a backend server. It is encoded
// as an array, since it is sent several times a second.
type ServerUse struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's id.
	Server  uint32
	Running uint16
	// ReadingMillis is how long the requests without a first token occupy
	// the reader of the server.
	ReadingMillis uint16
}

// WorkspaceUse is what a workspace has asked of a router and got from it.
type WorkspaceUse struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is a hash of the workspace's name.
	Workspace uint32
	// Asked and Begun are thousands of tokens in the window of fair shares.
	Asked uint32
	Begun uint32
}

// OtherUse is what workspaces without an entry of their own have asked and got
// together.
type OtherUse struct {
	_ struct{} `cbor:",toarray"`
	// Count is the number of workspaces. In a sum, one that is left out by
	// several routers counts as often.
	Count uint32
	// Asked and Begun are thousands of tokens in the window of fair shares.
	Asked uint32
	Begun uint32
}

// RouterUse is what a router has under way. Each message replaces the one
// before.
type RouterUse struct {
	Servers []ServerUse `cbor:"s"`
	// Workspaces are those that asked most, Others the rest if there is one.
	Workspaces []WorkspaceUse `cbor:"w"`
	Others     *OtherUse      `cbor:"o,omitempty"`
	// AgeTenths is for how many tenths of a second the fleet has served, at
	// most the window of fair shares. It tells a router that joins whether
	// the fleet has just started too.
	AgeTenths uint8 `cbor:"a,omitempty"`
}

// Elsewhere stands for all routers of the other data centres together where
// loads are kept by router.
const Elsewhere RouterID = ""

// DataCentreUse is what all routers of a data centre have under way together.
// Relays of data centres send it to each other.
type DataCentreUse struct {
	Use RouterUse `cbor:"u"`
}

// ElsewhereUse is what the routers of all other data centres have under way
// together. A relay sends it to the routers of its own data centre.
type ElsewhereUse struct {
	Use RouterUse `cbor:"u"`
}

// StoreAnswer is an answer of one of the store's feeds that a router passes on
// to the others of its data centre. It holds what has changed from After to
// Version; without changes it proves that there were none.
type StoreAnswer struct {
	// Feed names the feed: a table of the system's own, or what operators or
	// backend servers publish.
	Feed    string `cbor:"feed"`
	After   uint64 `cbor:"after"`
	Version uint64 `cbor:"version"`
	// Clock is the store's steady clock when it answered.
	Clock         time.Duration  `cbor:"clock"`
	Configuration *Configuration `cbor:"configuration,omitempty"`
	Out           []DataCentre   `cbor:"out,omitempty"`
	In            []DataCentre   `cbor:"in,omitempty"`
	Present       []Registration `cbor:"present,omitempty"`
	Gone          []ServerID     `cbor:"gone,omitempty"`
	Rows          []StoreRow     `cbor:"rows,omitempty"`
}

// Position returns the position that the answer shows.
func (a StoreAnswer) Position() Position {
	return Position{Version: a.Version, Clock: a.Clock, Relayed: true}
}

// Outgoing is a message with its destination.
type Outgoing struct {
	To      RouterID
	Message Message
}

// MessageType implements Message.
func (Hello) MessageType() string { return "hello" }

// MessageType implements Message.
func (GossipAsk) MessageType() string { return "gossipAsk" }

// MessageType implements Message.
func (Gossip) MessageType() string { return "gossip" }

// MessageType implements Message.
func (ChangesAsk) MessageType() string { return "changesAsk" }

// MessageType implements Message.
func (Changes) MessageType() string { return "changes" }

// MessageType implements Message.
func (Report) MessageType() string { return "report" }

// MessageType implements Message.
func (Enqueue) MessageType() string { return "enqueue" }

// MessageType implements Message.
func (Withdraw) MessageType() string { return "withdraw" }

// MessageType implements Message.
func (Progress) MessageType() string { return "progress" }

// MessageType implements Message.
func (Finish) MessageType() string { return "finish" }

// MessageType implements Message.
func (Grant) MessageType() string { return "grant" }

// MessageType implements Message.
func (Refuse) MessageType() string { return "refuse" }

// MessageType implements Message.
func (LeaseAsk) MessageType() string { return "leaseAsk" }

// MessageType implements Message.
func (LeaseState) MessageType() string { return "leaseState" }

// MessageType implements Message.
func (Summary) MessageType() string { return "summary" }

// MessageType implements Message.
func (Lend) MessageType() string { return "lend" }

// MessageType implements Message.
func (GiveBack) MessageType() string { return "giveBack" }

// MessageType implements Message.
func (Handover) MessageType() string { return "handover" }

// MessageType implements Message.
func (RouterUse) MessageType() string { return "routerUse" }

// MessageType implements Message.
func (DataCentreUse) MessageType() string { return "dataCentreUse" }

// MessageType implements Message.
func (ElsewhereUse) MessageType() string { return "elsewhereUse" }

// MessageType implements Message.
func (StoreAnswer) MessageType() string { return "storeAnswer" }
