package rwsoak

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"time"

	"ragwortwall/platform/standin"
)

const (
	// dutyStream is the number of the random source of the faults of holders.
	dutyStream = 10
	// dutyPoll is how often the instances are asked who holds the duties.
	dutyPoll = 50 * time.Millisecond
	// maxHolderFault and maxHolderRest are the longest fault of a holder and the longest pause
	// between two of them.
	maxHolderFault = 4 * time.Second
	maxHolderRest  = 2 * time.Second
	// dutyRecovery is how long the duties may rest after the last fault.
	dutyRecovery = 8 * time.Second
	// metricsPort is the port at which instances tell their state.
	metricsPort = "9464"
)

// startCloud starts the platform's interface for duties, and returns its address.
func (s *Soak) startCloud() string {
	s.cloud = &standin.Cloud{Fenced: true, Bound: standin.LeaseBound}
	s.cloudServer = httptest.NewServer(s.cloud)
	return s.cloudServer.Listener.Addr().String()
}

// dutyState is what an instance says of the duties.
type dutyState struct {
	Duties struct {
		Own   bool  `json:"own"`
		Fence int64 `json:"fence"`
	} `json:"duties"`
}

// holder returns the instance that says that it holds the duties, nil if none does, and its
// number.
func (s *Soak) holder() (*instance, int64) {
	client := http.Client{Timeout: dutyPoll}
	for _, i := range s.instances {
		host, _, _ := net.SplitHostPort(i.CallerAddress)
		response, err := client.Get("http://" + net.JoinHostPort(host, metricsPort) + "/state")
		if err != nil {
			continue
		}
		var state dutyState
		err = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		if err == nil && state.Duties.Own {
			return i, state.Duties.Fence
		}
	}
	return nil, 0
}

// disturbHolders kills, pauses, cuts off and stops whoever holds the duties, one after the other,
// until ctx ends, and checks that no number has two holders.
func (s *Soak) disturbHolders(ctx context.Context) {
	random := s.newRandom(dutyStream)
	names := map[int64]string{}
	for ctx.Err() == nil {
		time.Sleep(dutyPoll)
		i, fence := s.holder()
		if i == nil {
			continue
		}
		if names[fence] != "" && names[fence] != i.Name {
			s.addViolation("ONE: %s and %s hold the duties with the number %d", names[fence], i.Name, fence)
		}
		names[fence] = i.Name
		s.holders++
		length := time.Duration(random.Int64N(int64(maxHolderFault)))
		disturbanceEnd := s.disturb("process " + i.Name)
		end := s.disturbHolder(i, random.IntN(4))
		sleepUntil(ctx, length)
		end()
		disturbanceEnd()
		sleepUntil(ctx, time.Duration(random.Int64N(int64(maxHolderRest))))
	}
}

// disturbHolder begins one of the faults of a holder and returns what ends it.
func (s *Soak) disturbHolder(i *instance, kind int) func() {
	switch kind {
	case 0:
		interruptionEnd := s.interrupt(i.Name)
		i.terminate(syscall.SIGKILL, time.Second)
		return func() {
			s.restartInstance(i)
			interruptionEnd()
		}
	case 1:
		interruptionEnd := s.interrupt(i.Name)
		i.signal(syscall.SIGSTOP)
		return func() {
			i.signal(syscall.SIGCONT)
			interruptionEnd()
		}
	case 2:
		i.storeProxy.SetMode(ModeSilent)
		return func() { i.storeProxy.SetMode(ModeNormal) }
	default:
		return func() { s.stopWith(i) }
	}
}

func sleepUntil(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkDuties checks that somebody carries the duties out after the faults, and that never two
// instances did.
func (s *Soak) checkDuties() {
	if !s.Duties {
		return
	}
	before := len(s.cloud.Calls())
	deadline := time.Now().Add(dutyRecovery)
	for {
		holder, _ := s.holder()
		if holder != nil && (before == 0 || len(s.cloud.Calls()) > before) {
			break
		}
		if time.Now().After(deadline) {
			s.addViolation("the duties rest %s after the faults; calls before: %d, now: %d", dutyRecovery, before, len(s.cloud.Calls()))
			break
		}
		time.Sleep(dutyPoll)
	}
	for _, broken := range s.cloud.Broken() {
		s.addViolation("ONE: %s", broken)
	}
	s.report.Holders, s.report.DutyCalls = s.holders, len(s.cloud.Calls())
}
