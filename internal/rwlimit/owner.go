package rwlimit

import (
	"slices"
	"time"
)

// question asks the instances that may grant tokens of a server, the owner first, and returns
// the first answer. If maxAsked instances don't answer, this one grants itself an equal share.
func (l *Limiter) question(s Server, want int, reserve float64) Grant {
	rank := l.Peers.Rank(s.ID)
	local := Ask{Finding: Finding{Server: s}, Want: want, Reserve: reserve}
	asked := 0
	for _, name := range rank {
		switch {
		case name == l.Self:
			return l.grant(l.Self, local, l.share(rank))
		case asked == maxAsked:
			return l.grant(l.Self, local, 1/float64(len(rank)))
		case l.isSilent(name):
			continue
		}
		asked++
		if g, ok := l.askInstance(name, s, want, reserve); ok {
			l.Merge(g.Finding, name)
			return g
		}
		l.recordSilence(name)
	}
	return Grant{}
}

// askInstance sends a question to an instance until it answers.
func (l *Limiter) askInstance(name string, s Server, want int, reserve float64) (Grant, bool) {
	l.mu.Lock()
	l.lastNumber++
	number, answer := l.lastNumber, make(chan Grant, 1)
	if l.answers == nil {
		l.answers = map[uint64]chan Grant{}
	}
	l.answers[number] = answer
	var f Finding
	if state, ok := l.servers[s]; ok {
		f = state.finding(s, time.Now())
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.answers, number)
	}()
	for _, timeout := range []time.Duration{firstAskTimeout, secondAskTimeout} {
		l.Peers.Ask(name, Ask{Number: number, Finding: f, Want: want, Reserve: reserve})
		select {
		case g := <-answer:
			return g, true
		case <-time.After(timeout):
		}
	}
	l.count("limit_questions_unanswered")
	return Grant{}, false
}

// HandleAsk answers a question of another instance.
func (l *Limiter) HandleAsk(from string, a Ask) Grant {
	l.Merge(a.Finding, from)
	rank := l.Peers.Rank(a.Finding.ID)
	for _, name := range rank[:max(0, slices.Index(rank, l.Self))] {
		if !l.isSilent(name) {
			go l.probe(name, a.Finding.Server) // the asking instance doesn't reach it
		}
	}
	g := l.grant(from, a, l.share(rank))
	g.Number = a.Number
	return g
}

// HandleGrant passes an answer on to its question.
func (l *Limiter) HandleGrant(g Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, ok := l.answers[g.Number]; ok {
		select {
		case answer <- g:
		default: // answered twice, as the question was sent twice
		}
	}
}

// grant answers a question from the bucket of this instance, which grants a share of the
// limit's rate.
func (l *Limiter) grant(from string, a Ask, share float64) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := a.Finding.Server
	state, ok := l.servers[s]
	if !ok {
		return Grant{Finding: a.Finding}
	}
	now := time.Now()
	if !state.Named {
		return Grant{Finding: state.finding(s, now)}
	}
	tokens, wait := state.bucket.grant(from, a.Want, share*state.Rate, a.Reserve, now)
	return Grant{Finding: state.finding(s, now), Tokens: tokens, Wait: wait.Milliseconds()}
}

// share returns the part of a limit's rate that this instance grants: all of it if it is the
// owner, or if those before it are gone.
func (l *Limiter) share(rank []string) float64 {
	share, doubted := l.judgeOwners(rank)
	if len(doubted) > 0 {
		l.Peers.AskHeard(doubted)
	}
	return share
}

// judgeOwners returns the share, and the silent instances that others are to be asked about.
func (l *Limiter) judgeOwners(rank []string) (share float64, doubted []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	share = 1
	for _, name := range rank {
		if name == l.Self {
			break
		}
		silent := l.silent[name]
		if silent == nil || !silent.isGone(now) {
			share = deputyShare
		}
		if silent != nil && len(doubted) < maxDoubted && silent.mayAskOthers(now) {
			doubted = append(doubted, name)
			silent.askedOthersAt = now
			if silent.firstAskedAt.IsZero() {
				silent.firstAskedAt = now
			}
		}
	}
	return share, doubted
}

// maxDoubted bounds the instances that others are asked about at once.
const maxDoubted = 16

// HandleHeardQuestion returns those of the named instances that this one heard from lately.
func (l *Limiter) HandleHeardQuestion(names []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		at, ok := l.heardAt[name]
		return name != l.Self && (!ok || time.Since(at) > heardWithin)
	})
}

// HandleHeard records that another instance heard from silent ones.
func (l *Limiter) HandleHeard(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		if silent := l.silent[name]; silent != nil {
			silent.heardByOther = time.Now()
		}
	}
}

// probe asks whether an instance answers.
func (l *Limiter) probe(name string, s Server) {
	if _, ok := l.askInstance(name, s, 0, 0); !ok {
		l.recordSilence(name)
	}
}

func (l *Limiter) isSilent(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := l.silent[name]
	return silent != nil && time.Now().Before(silent.until)
}

// recordSilence records that an instance did not answer.
func (l *Limiter) recordSilence(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	silent := l.silent[name]
	if silent == nil {
		if l.silent == nil {
			l.silent = map[string]*silence{}
		}
		silent = &silence{since: now}
		l.silent[name] = silent
		l.Log.Info("owner of a limit doesn't answer", "instance", name)
	}
	silent.backoff = min(maxSilence, max(minSilence, 2*silent.backoff))
	silent.until = now.Add(silent.backoff)
}

// Heard records that something came from an instance.
func (l *Limiter) Heard(name string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heardAt == nil {
		l.heardAt = map[string]time.Time{}
	}
	l.heardAt[name] = time.Now()
	delete(l.silent, name)
}
