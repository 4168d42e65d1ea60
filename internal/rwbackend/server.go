package rwbackend

import (
	"time"

	"ragwortwall/pkg/rwset"
)

// Entry is what the store lists of a server. Entries are immutable.
type Entry struct {
	ID          string
	Service     string
	Address     string // IP number and port
	Zone        string
	Version     string // of its software
	Slots       int
	Leaving     bool
	Incarnation int64         // one life of the server; another after a restart under the same id
	Cold        time.Duration // how much longer it is slow after its start
}

// Said is what a model server says of itself when it is asked.
type Said struct {
	Incarnation int64
	Models      []string
	Ready       bool // it is neither leaving nor of another use than running requests
}

// Load is what a server said of its load with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Server is one backend server as this instance knows it. All access is by its
// Directory.
type Server struct {
	Entry
	plain     int // own plain requests that it holds
	load      Load
	loadAt    time.Time
	failures  float64 // moving average of failed answers, 0 to 1
	latency   float64 // moving average of the time to an answer, in seconds
	suspect   time.Time
	refusals  int       // in a row
	strikes   int       // losses in a row
	lostAt    time.Time // of the last loss
	heardAt   time.Time // when it last sent something
	alarmedAt time.Time // when it was last looked at for the loss of others
	leftAt    time.Time // when it was first seen leaving or gone
	gone      bool      // its entry is no longer listed
	loads     map[string]*Run
	copies    map[string]*Run
	parts     rwset.Set[string] // of prompts, as it last listed them
	partsAt   time.Time
}

// View is a copy of what is known of a server, for decisions.
type View struct {
	Entry
	Plain     int // own plain requests that it holds
	Others    int // requests of others that it holds, as far as is known
	Failures  float64
	Latency   time.Duration // zero when unknown
	Suspect   bool          // it was lost or silent a short while ago
	Unheard   bool          // it was lost and has sent nothing since
	Runs      int           // streams of all instances that it runs
	Committed int           // tokens of memory that runs and copies take or will take
	Backlog   int           // prompt tokens that it has yet to read
}
