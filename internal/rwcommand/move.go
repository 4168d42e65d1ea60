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
	Status   moveStatus `command:"status" alias:"list" description:"show the moves and their evidence"`
	TakeBack moveAction `command:"takeback" description:"take a move back"`
	Pause    moveAction `command:"pause" description:"stop shifting traffic"`
	Resume   moveAction `command:"resume" description:"go on shifting traffic"`
}

type moveStart struct {
	operatorOptions
	Within    time.Duration `long:"within" required:"yes" description:"time until the deadline"`
	Soak      string        `long:"soak" description:"time with all traffic before it is done; a tenth of the time if absent"`
	Load      bool          `long:"load" description:"order the servers to load the version, and to unload the old one"`
	Wait      bool          `long:"wait" description:"wait for the end and show the progress"`
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
			printRow(w, m.Route, m.From, m.To, m.Phase, fmt.Sprintf("%.1f%%", 100*m.Share), m.After.Runs, m.After.Failed,
				m.Deadline.Format(time.RFC3339), m.Reason)
		}
	})
}

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
