package rwsoak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// upgradeStream is the number of the random source of the replacements of instances.
const upgradeStream = 10

// Parts of the run, as fractions of its duration, in which instances are replaced by those of
// the other build, one after the other: first all by new ones, then half of them by former ones
// as in a roll-back.
const (
	upgradeFrom, upgradeTo   = 0.05, 0.5
	rollBackFrom, rollBackTo = 0.6, 0.9
)

// replacement is the fault that stops an instance and starts it with the other build.
var replacement = fault{name: "replace", inject: func(s *Soak, index int) func() {
	i := s.instances[index%len(s.instances)]
	return func() {
		i.signal(syscall.SIGCONT)
		i.terminate(syscall.SIGTERM, stopTimeout)
		i.setProgram(s.otherProgram(i))
		s.restartInstance(i)
	}
}}

func (s *Soak) otherProgram(i *instance) string {
	if i.usesProgram(s.Program) {
		return s.Former
	}
	return s.Program
}

// upgrades returns the replacements of a run.
func (s *Soak) upgrades() []scheduledFault {
	order := s.newRandom(upgradeStream).Perm(len(s.instances))
	replace := func(instances []int, from, to float64) (planned []scheduledFault) {
		for n, index := range instances {
			at := from + (to-from)*float64(n)/float64(len(instances))
			planned = append(planned, scheduledFault{start: time.Duration(at * float64(s.Duration)), duration: minFaultDuration, kind: replacement, targetIndex: index})
		}
		return planned
	}
	return append(replace(order, upgradeFrom, upgradeTo), replace(order[:len(order)/2], rollBackFrom, rollBackTo)...)
}

// BuildCommit builds the program of the instances as of a commit of the repository in the working
// directory, and returns its path. It keeps sources and program in a folder. The error says so if
// the commit is not in the history.
func BuildCommit(ctx context.Context, commit, folder string) (program string, err error) {
	folder, err = filepath.Abs(filepath.Join(folder, commit))
	if err != nil {
		return "", errors.Trace(err)
	}
	program = filepath.Join(folder, "bin", "rwentry")
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	if err := os.RemoveAll(folder); err != nil {
		return "", errors.Trace(err)
	}
	run := func(folder, name string, args ...string) error {
		cmd := exec.CommandContext(ctx, name, args...)
		cmd.Dir = folder
		if output, err := cmd.CombinedOutput(); err != nil {
			return errors.Annotatef(err, "cannot build commit %s, is it in the history? %s", commit, output)
		}
		return nil
	}
	if err := run(".", "git", "clone", "--quiet", "--shared", "--no-checkout", ".", folder); err != nil {
		return "", err
	}
	if err := run(folder, "git", "checkout", "--quiet", commit); err != nil {
		return "", err
	}
	return program, run(folder, "go", "build", "-o", program, "./cmd/rwentry")
}
