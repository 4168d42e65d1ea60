package rwcommand

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"ragwortwall/internal/rwmove"
	"ragwortwall/internal/rwtree"

	"github.com/juju/errors"
)

// moveCommands are the commands under "move".
type moveCommands struct {
	Start    moveStart  `command:"start" description:"move a route to another version by a deadline"`
	Status   moveStatus `command:"status" alias:"list" description:"show the moves, their progress and the runs they are judged by"`
	TakeBack moveAction `command:"takeback" description:"take a move back and return all traffic to the old version"`
	Pause    moveAction `command:"pause" description:"stop shifting traffic to the new version until the move is resumed"`
	Resume   moveAction `command:"resume" description:"resume shifting traffic to the new version"`
}

type moveStart struct {
	operatorOptions
	Within    time.Duration `long:"within" required:"yes" description:"time from now to the deadline of the move, such as 2h"`
	Soak      string        `long:"soak" description:"time for which the new version must serve all traffic before the move is done, such as 10m; if absent, a tenth of the time to the deadline"`
	Load      bool          `long:"load" description:"order the backend servers to load the new version, and to unload the old one afterwards"`
	Wait      bool          `long:"wait" description:"wait until the move is done or taken back, and print its progress"`
	Arguments struct {
		Route   string `positional-arg-name:"team/route" required:"yes"`
		Version string `positional-arg-name:"version" required:"yes"`
	} `positional-args:"yes"`
}

// Execute starts a move.
func (c *moveStart) Execute([]string) error {
	start := rwmove.BeginRequest{
		Route: c.Arguments.Route, To: c.Arguments.Version,
		Deadline: time.Now().Add(c.Within), Soak: c.Soak, Load: c.Load,
	}
	var move rwtree.Move
	if err := c.callAPI(http.MethodPost, "/moves", start, &move); err != nil {
		return err
	}
	if c.Wait {
		return c.followMove(move.Route)
	}
	return c.printResult(move, func(w io.Writer) { printRow(w, "started", move.Route, move.From, "->", move.To) })
}

// followMove polls a move and prints its progress until it is done. It returns an
// error when the move was taken back or the request fails.
func (c *operatorOptions) followMove(route string) error {
	printed := ""
	for {
		var moves []rwmove.Status
		if err := c.callAPI(http.MethodGet, "/moves", nil, &moves); err != nil {
			return err
		}
		for _, m := range moves {
			if m.Route != route {
				continue
			}
			line := fmt.Sprintf("%s %3.0f%% %s", m.Phase, 100*m.Share, m.Reason)
			if line != printed {
				fmt.Fprintln(c.std.out, line)
				printed = line
			}
			if m.Phase == rwtree.PhaseTakenBack {
				return errors.Errorf("the move was taken back: %s", m.Reason)
			}
			if m.Phase == rwtree.PhaseDone {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
}

type moveStatus struct{ operatorOptions }

// Execute prints the moves.
func (c *moveStatus) Execute([]string) error {
	var moves []rwmove.Status
	if err := c.callAPI(http.MethodGet, "/moves", nil, &moves); err != nil {
		return err
	}
	return c.printResult(moves, func(w io.Writer) {
		printRow(w, "ROUTE", "FROM", "TO", "PHASE", "SHARE", "RUNS", "FAILED", "DEADLINE", "REASON")
		for _, m := range moves {
			printRow(w, m.Route, m.From, m.To, m.Phase, fmt.Sprintf("%.1f%%", 100*m.Share), m.NewEvidence.Attempts, m.NewEvidence.Failed,
				m.Deadline.Format(time.RFC3339), m.Reason)
		}
	})
}

// moveAction is a command that applies action to the move of a route.
type moveAction struct {
	operatorOptions
	Arguments struct {
		Route string `positional-arg-name:"team/route" required:"yes"`
	} `positional-args:"yes"`

	action rwmove.Action
}

// Execute applies the action to the route's move.
func (c *moveAction) Execute([]string) error {
	var move rwtree.Move
	path := "/moves/" + c.Arguments.Route + "/" + string(c.action)
	if err := c.callAPI(http.MethodPost, path, nil, &move); err != nil {
		return err
	}
	return c.printResult(move, func(w io.Writer) { printRow(w, move.Route, move.Phase, move.Reason) })
}
