package rwbackend

import (
	"time"

	"ragwortwall/pkg/rwset"
)

// Entry is a server's registration in the store. An update replaces the whole entry.
type Entry struct {
	ID          string
	Service     string
	Address     string // IP number and port
	Zone        string
	Version     string // software version
	Slots       int
	Leaving     bool          // it is shutting down and takes no new requests
	Incarnation int64         // increases when the server restarts under the same id
	WarmUp      time.Duration // remaining warm-up time, during which it is slower
}

// ServerStatus is the status that a model server returns about itself.
type ServerStatus struct {
	Incarnation int64
	Models      []string
	Ready       bool // it accepts requests: it is not leaving and runs both prefill and decoding
}

// Load is the load that a server reported with a response, in requests.
type Load struct {
	Running, Waiting, Slots int

	Pace float64 // how long work takes there at that moment, 1 as usual; zero if not reported
}

// Server is the state of one backend server. It is guarded by the mutex of its
// Directory.
type Server struct {
	Entry
	ownRequests         int // non-streaming requests of this instance in flight
	load                Load
	loadAt              time.Time
	sentSince           int       // non-streaming requests of this instance sent since loadAt
	work                work      // how long its work takes
	fullUntil           time.Time // it counts as full until then, see RecordFull
	failureRate         float64   // moving average of the failure rate, 0 to 1
	latency             float64   // moving average, in seconds
	suspectUntil        time.Time // end of the back-off
	consecutiveRefusals int
	consecutiveLosses   int         // counted at most once per back-off
	lostAt              time.Time   // the last loss
	receivedAt          time.Time   // when it last sent a response or the first event of a stream
	aliveAt             time.Time   // the latest time at which its process is known to have run
	probedAt            time.Time   // when it was last selected for a probe by ServersToProbe
	leavingSince        time.Time   // when its entry first said that it is leaving
	removed             bool        // its entry is no longer listed
	said                *statements // what its process has said of itself; nil if nothing
	activeRuns          map[runKey]*Run
	copies              map[runKey]*Run   // runs whose copy it holds
	parts               rwset.Set[string] // ids of the prompt parts that it last reported to hold
	partsAt             time.Time
}

// View is a snapshot of the state of a server, used to select one.
type View struct {
	Entry
	Plain           int           // non-streaming requests of this instance in flight
	OtherRequests   int           // other requests, from the last reported load; 0 if unknown
	Report          Report        // what it told of its load
	FullFor         time.Duration // until it counts as full no longer; zero if it isn't
	Slowness        float64       // how long its work takes on average compared with other servers of the service, 1 as usual; zero if unknown
	FailureRate     float64       // moving average of the failure rate, 0 to 1
	Latency         time.Duration // moving average; zero if unknown
	Suspect         bool          // it is in back-off
	SilentSinceLoss bool          // it was lost and has sent nothing since then
	ServesSinceLoss bool          // a run of some instance that was placed since then has lasted longer than its prefill
	Runs            int           // active runs of all instances
	Committed       int           // KV cache tokens that its runs and copies may take at most
	Backlog         int           // prompt tokens still to be prefilled
	SaidLeaving     bool          // it said in a response that it is leaving
	PausedUntil     time.Time     // end of the latest pause that it asked for; zero if it asked for none
}
