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
	Start    moveStart `command:"start" description:"move a route to another version by a deadline"`
	Status   moveList  `command:"status" alias:"list" description:"show the moves and their evidence"`
	TakeBack moveAct   `command:"takeback" description:"take a move back"`
	Pause    moveAct   `command:"pause" description:"stop shifting traffic"`
	Resume   moveAct   `command:"resume" description:"go on shifting traffic"`
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
	if err := c.call(http.MethodPost, "/moves", start, &move); err != nil {
		return err
	}
	if c.Wait {
		return c.follow(move.Route)
	}
	return c.print(move, func(w io.Writer) { row(w, "started", move.Route, move.From, "->", move.To) })
}

// follow shows a move's steps until it has ended. A move that was taken back is
// an error.
func (c *operatorOptions) follow(route string) error {
	last := ""
	for {
		var all []rwmove.Status
		if err := c.call(http.MethodGet, "/moves", nil, &all); err != nil {
			return err
		}
		for _, m := range all {
			if m.Route != route {
				continue
			}
			line := fmt.Sprintf("%s %3.0f%% %s", m.Phase, 100*m.Share, m.Reason)
			if line != last {
				fmt.Fprintln(c.o.out, line)
				last = line
			}
			if m.Phase == rwtree.PhaseTakenBack {
				return errors.Errorf("the move was taken back: %s", m.Reason)
			}
			if m.Phase == rwtree.PhaseDone {
				return nil
			}
		}
		time.Sleep(waitPause)
	}
}

type moveList struct{ operatorOptions }

// Execute shows the moves.
func (c *moveList) Execute([]string) error {
	var all []rwmove.Status
	if err := c.call(http.MethodGet, "/moves", nil, &all); err != nil {
		return err
	}
	return c.print(all, func(w io.Writer) {
		row(w, "ROUTE", "FROM", "TO", "PHASE", "SHARE", "RUNS", "FAILED", "DEADLINE", "REASON")
		for _, m := range all {
			row(w, m.Route, m.From, m.To, m.Phase, fmt.Sprintf("%.1f%%", 100*m.Share), m.After.Runs, m.After.Failed,
				m.Deadline.Format(time.RFC3339), m.Reason)
		}
	})
}

type moveAct struct {
	operatorOptions
	Arguments struct {
		Route string `positional-arg-name:"team/route" required:"yes"`
	} `positional-args:"yes"`

	action rwmove.Action
}

// Execute acts on a move.
func (c *moveAct) Execute([]string) error {
	var move rwtree.Move
	path := "/moves/" + c.Arguments.Route + "/" + string(c.action)
	if err := c.call(http.MethodPost, path, nil, &move); err != nil {
		return err
	}
	return c.print(move, func(w io.Writer) { row(w, move.Route, move.Phase, move.Reason) })
}
