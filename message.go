package galenalatch

// Message is a message between routers. The set of messages is closed; the
// codec in internal/peer/wire lists them. Messages are encoded as CBOR.
type Message interface {
	// MessageType returns the name of the message on the wire.
	MessageType() string
}

// Hello is the first message of each side on a connection between routers.
type Hello struct {
	Router RouterID `cbor:"router"`
	// Start is a random value that is new for each start of the process. An
	// empty Start is rejected.
	Start      string     `cbor:"start"`
	DataCentre DataCentre `cbor:"dataCentre"`
	// Protocol is the version of the protocol. The receiver rejects any
	// version but its own.
	Protocol int `cbor:"protocol"`
	// HeartbeatMillis is the longest time in milliseconds between two
	// messages of the sender on this connection; 0 leaves the receiver's
	// own timeout in force.
	HeartbeatMillis int64 `cbor:"heartbeatMillis,omitempty"`
}

// Holder names the router that holds the lease of a cell, and the epoch of the
// lease.
type Holder struct {
	Cell   CellID   `cbor:"cell"`
	Router RouterID `cbor:"router"`
	Epoch  Epoch    `cbor:"epoch"`
}

// LastContact is the age, in milliseconds, of the newest evidence that a router
// was running and held no newer catalogue than the sender.
type LastContact struct {
	Router    RouterID `cbor:"router"`
	AgeMillis int64    `cbor:"ageMillis"`
}

// GossipRequest requests a Gossip and carries the state of the requesting
// router.
type GossipRequest struct {
	// Stamp identifies the request. The reply returns it as Echo, so that
	// the requesting router can count the ages in the reply from the time
	// at which it sent the request.
	Stamp  int64  `cbor:"stamp"`
	Gossip Gossip `cbor:"gossip"`
}

// Gossip is the state of the fleet as the sender has received it.
type Gossip struct {
	// Echo is the Stamp of the request; 0 in a GossipRequest.
	Echo int64 `cbor:"echo"`
	// Version is the catalogue version that the sender holds; 0 while the
	// sender cannot show yet that it has not missed a version.
	Version Version `cbor:"version"`
	// ConfirmedAgeMillis is the age in milliseconds of the newest read of
	// the catalogue's head row that showed at most Version; -1 without a
	// recent one, and in a GossipRequest.
	ConfirmedAgeMillis int64 `cbor:"confirmedAgeMillis"`
	// ListSum is a checksum of the sorted list of routers whose majority
	// counts. In a GossipRequest a value other than 0 requests LastContacts or
	// Ages. In a reply it is set together with Ages.
	ListSum uint64 `cbor:"listSum,omitempty"`
	// LastContacts is sent in place of Ages to a router with another list. Both
	// are requested only while the requesting router has recent evidence
	// neither from the platform's table nor from a majority.
	LastContacts []LastContact `cbor:"heard,omitempty"`
	// Ages holds the ages of LastContacts for routers with the same list: one
	// byte for each router in the order of the list, in units of 10 ms, 255 for
	// unknown.
	Ages []byte `cbor:"ages,omitempty"`
	// Holders are those that changed recently. When HoldersSum differs
	// although nothing changed recently, a reply carries a part of all
	// holders instead.
	Holders []Holder `cbor:"holders,omitempty"`
	// HoldersSum is a checksum of all holders that the sender has recorded.
	HoldersSum uint64 `cbor:"holdersSum,omitempty"`
}

// ChangesRequest requests the catalogue changes after a version.
type ChangesRequest struct {
	After Version `cbor:"after"`
}

// Changes carries encoded catalogue changes in order of their versions. It may
// hold fewer changes than were requested, to fit into one message.
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
	// Estimate is the expected cost and Units the cost so far, in service
	// units.
	Estimate int64 `cbor:"estimate"`
	Units    int64 `cbor:"units"`
	// Home is the cell in which the request waited.
	Home CellID `cbor:"home"`
	// Slot is the borrowed slot that the request uses; empty when it runs on
	// a server of its home cell.
	Slot string `cbor:"slot,omitempty"`
	// ServerCell is the cell to which the server belongs.
	ServerCell CellID `cbor:"serverCell"`
	// Serial is the serial number of the grant; 0 when it is unknown.
	Serial uint64 `cbor:"serial,omitempty"`
}

// Report lists, for the holder of a cell, the requests of an entry router that
// wait in the cell, run on its servers, or run on slots that it borrowed.
type Report struct {
	Cell CellID `cbor:"cell"`
	// Epoch is the epoch of the holder that the report is meant for.
	Epoch   Epoch     `cbor:"epoch"`
	Waiting []Waiting `cbor:"waiting"`
	Running []Running `cbor:"running"`
	// More is set when another part of the report follows in a message of
	// its own.
	More bool `cbor:"more,omitempty"`
}

// Enqueue requests a grant from the holder of a home cell. The entry router
// repeats it when neither a grant nor a refusal arrives.
type Enqueue struct {
	Cell    CellID  `cbor:"cell"`
	Waiting Waiting `cbor:"waiting"`
}

// Withdraw removes a waiting request that no longer needs a grant.
type Withdraw struct {
	Cell    CellID    `cbor:"cell"`
	Request RequestID `cbor:"request"`
}

// Used is the cost so far of one running request.
type Used struct {
	// Request may be empty when Serial is set.
	Request RequestID `cbor:"request,omitempty"`
	// Units is the cost in service units.
	Units int64 `cbor:"units"`
	// Serial is the serial number of the grant; 0 stands for the newest
	// grant of Request.
	Serial uint64 `cbor:"serial,omitempty"`
}

// Progress reports the cost so far of running requests of an entry router. It
// also confirms to the cell that their grants are in use.
type Progress struct {
	Cell CellID `cbor:"cell"`
	Used []Used `cbor:"used"`
}

// Finish ends a granted request.
type Finish struct {
	Cell    CellID    `cbor:"cell"`
	Request RequestID `cbor:"request"`
	// Units is the whole cost in service units.
	Units int64 `cbor:"units"`
	// Outcome is NotRun when the grant was not used.
	Outcome Outcome `cbor:"outcome"`
	// Failed is set when the server broke the connection or had another boot
	// identity than the grant named.
	Failed bool `cbor:"failed"`
	// Unreachable is set when no connection to the server could be opened. The
	// server may have restarted.
	Unreachable bool `cbor:"unreached,omitempty"`
	// Completed is set when the server answered the request.
	Completed bool `cbor:"completed"`
	// Serial is the serial number of the grant that ends; 0 stands for the
	// newest grant of the request.
	Serial uint64 `cbor:"serial,omitempty"`
}

// Grant permits an entry router to send one request to one backend server.
type Grant struct {
	// Cell is the home cell of the request and Epoch the epoch of its holder.
	Cell    CellID    `cbor:"cell"`
	Epoch   Epoch     `cbor:"epoch"`
	Request RequestID `cbor:"request"`
	Server  ServerID  `cbor:"server"`
	// Address is host:port of the server.
	Address string `cbor:"address"`
	// Boot is the boot identity that the server must have.
	Boot BootID `cbor:"boot"`
	// DataCentre is the data centre of the server.
	DataCentre DataCentre `cbor:"dataCentre"`
	// ServerCell is the cell to which the server belongs, ServerEpoch the
	// epoch of its holder. They differ from Cell and Epoch when the slot is
	// borrowed.
	ServerCell  CellID `cbor:"serverCell"`
	ServerEpoch Epoch  `cbor:"serverEpoch"`
	// Slot is the borrowed slot; empty when the server belongs to Cell.
	Slot string `cbor:"slot,omitempty"`
	// Lapsed is set when the holder could not renew its lease.
	Lapsed bool `cbor:"lapsed"`
	// Serial increases with every grant of the cell, also from one epoch to
	// the next. An entry router accepts a grant only when its serial is
	// higher than those of all earlier grants of this request by the cell.
	Serial uint64 `cbor:"serial,omitempty"`
	// StatusQuery requests the state of the grant and does not permit the
	// request to start. The entry router replies with Progress when the request
	// runs under this grant and with Finish otherwise.
	StatusQuery bool `cbor:"ask,omitempty"`
}

// Refuse rejects a request for a grant.
type Refuse struct {
	Cell    CellID    `cbor:"cell"`
	Request RequestID `cbor:"request"`
	// Kind is the reason.
	Kind Kind `cbor:"kind"`
	// RetryAfterMillis is the kind's retry delay in milliseconds; 0 when the
	// kind has none.
	RetryAfterMillis int64 `cbor:"retryAfterMillis"`
}

// LeaseRequest requests the remaining time of the receiver's lease.
type LeaseRequest struct {
	Cell CellID `cbor:"cell"`
	// Stamp is the time of the request in nanoseconds on the sender's clock.
	// The reply returns it as Echo.
	Stamp int64 `cbor:"stamp"`
}

// LeaseState is the reply to LeaseRequest.
type LeaseState struct {
	Cell  CellID `cbor:"cell"`
	Epoch Epoch  `cbor:"epoch"`
	// Echo is the Stamp of the request.
	Echo int64 `cbor:"echo"`
	// RemainingMillis is the time in milliseconds, counted from Echo, for
	// which the lease lasts at least; 0 when it has expired or the holder no
	// longer grants.
	RemainingMillis int64 `cbor:"remainingMillis"`
	// Lapsed is set when the holder could not renew its lease but still
	// grants. The receiver then relies on the reply for a fixed short time
	// and ignores RemainingMillis.
	Lapsed bool `cbor:"lapsed"`
	// Reported is set when the holder has the complete Report of the router
	// that sent the request.
	Reported bool `cbor:"reported,omitempty"`
}

// Summary is the state of a cell for the other cells of its pool.
type Summary struct {
	Cell  CellID `cbor:"cell"`
	Epoch Epoch  `cbor:"epoch"`
	// VirtualTime is the lowest charge among the workspaces with requests
	// that may start, or its last value while there are none, in service
	// units divided by weight.
	VirtualTime int64 `cbor:"virtualTime"`
	// Waiting is the number of requests that wait and may start now.
	Waiting int `cbor:"waiting"`
	// Free is the number of free slots.
	Free int `cbor:"free"`
}

// Lend permits another cell of the pool to use one slot of a server once.
type Lend struct {
	// From is the lending cell, To the borrowing one. Epoch is the epoch of
	// the lending holder.
	From  CellID `cbor:"from"`
	Epoch Epoch  `cbor:"epoch"`
	To    CellID `cbor:"to"`
	// Slot is the name of the slot, unique within the lending cell.
	Slot   string   `cbor:"slot"`
	Server ServerID `cbor:"server"`
	// Address is host:port of the server.
	Address    string     `cbor:"address"`
	Boot       BootID     `cbor:"boot"`
	DataCentre DataCentre `cbor:"dataCentre"`
	// TermMillis is the time in milliseconds within which the borrower must
	// grant the slot to a request, counted from receipt.
	TermMillis int64 `cbor:"termMillis"`
	// ToEpoch is the epoch of the borrowing holder. Holders of other epochs
	// must not use the slot.
	ToEpoch Epoch `cbor:"toEpoch"`
	// StatusQuery requests the state of a slot lent earlier and offers none.
	// The borrower replies with GiveBack.
	StatusQuery bool `cbor:"ask,omitempty"`
}

// GiveBack returns a borrowed slot, whether it was used or not, or states that
// it is still in use.
type GiveBack struct {
	// From is the borrowing cell, To the lending one.
	From CellID `cbor:"from"`
	To   CellID `cbor:"to"`
	Slot string `cbor:"slot"`
	// Used is set when a request ran, or may have run, on the slot.
	Used bool `cbor:"used"`
	// Failed and Completed have the meaning that they have in Finish.
	Failed    bool `cbor:"failed"`
	Completed bool `cbor:"completed"`
	// Unverified is set when no entry router confirmed that the use of the slot
	// has ended, or when the server could not be reached. The server gets no
	// new work before its next load report.
	Unverified bool `cbor:"assumed,omitempty"`
	// InUse is set in a reply to a Lend with StatusQuery that does not return
	// the slot: an entry router has confirmed that a request runs on it.
	InUse bool `cbor:"inUse,omitempty"`
}

// Handover transfers the state of a cell to its next holder during a graceful
// shutdown.
type Handover struct {
	Cell CellID `cbor:"cell"`
	// Epoch is the epoch of the sender. The receiver must have a higher one.
	Epoch Epoch `cbor:"epoch"`
	// Counters are the charges of the workspaces that are above the virtual
	// time, in service units divided by weight. The empty key holds the
	// virtual time.
	Counters map[string]int64 `cbor:"counters"`
	// Warm holds the servers with completed requests, by server id. The
	// receiver uses it only if its epoch is the next one.
	Warm map[string]WarmServer `cbor:"warm"`
}

// WarmServer is the warm-up state of a server at a handover.
type WarmServer struct {
	// Boot is the boot identity under which Completed requests were answered.
	Boot      BootID `cbor:"boot"`
	Completed int    `cbor:"completed"`
}

// Outgoing is a message with its destination.
type Outgoing struct {
	To      RouterID
	Message Message
}

// MessageType implements Message.
func (Hello) MessageType() string { return "hello" }

// MessageType implements Message.
func (GossipRequest) MessageType() string { return "gossipAsk" }

// MessageType implements Message.
func (Gossip) MessageType() string { return "gossip" }

// MessageType implements Message.
func (ChangesRequest) MessageType() string { return "changesAsk" }

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
func (LeaseRequest) MessageType() string { return "leaseAsk" }

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
