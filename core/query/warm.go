package query

import (
	"strconv"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

const (
	// latencyWeight is the share of a new sample in a moving average.
	latencyWeight = 8
	// Three consecutive replies above 4 times the average and above 20 ms are
	// a latency jump (design 3.2): the target has fallen back to a cold start.
	jumpRun    = 3
	jumpFactor = 4
	jumpFloor  = 20 * time.Millisecond
	// A release that arrived earlier than this before the lead changed belongs
	// to an earlier handover.
	releaseMaxAge = 2 * view.HandoverWait
)

// warmth is what the lead knows of how much a target can sustain.
type warmth struct {
	level       int // 1 to slots
	streak      int // successful completions in a row at this level
	incarnation model.Incarnation
	service     time.Duration // moving average of the latency
	slow        int           // replies in a row that look like a jump
	foreign     int           // work of others that the target reported

	released      model.ReleasedTarget // last word of the lead before, if any
	releasedAt    time.Duration
	draining      bool // no longer led, work still in flight
	observedDirty bool
}

// room is the work that the target may have in flight from this lead.
func (t *target) room() int {
	return max(1, min(t.level, t.slots-t.foreign))
}

// leadChanged runs when this instance starts or stops leading a target.
func (e *Engine) leadChanged(i int32) {
	t := &e.targets[i]
	if !t.lead.Self {
		t.draining = true
		e.markTarget(i)
		return
	}
	if t.draining {
		// Led again before the last work ended: what was learned still holds,
		// but the lead in between may have seen the target fall back.
		t.draining = false
		if t.info.Level > 0 {
			e.setLevel(i, min(t.level, t.info.Level))
		}
		return
	}
	t.level, t.streak, t.slow, t.foreign, t.service = 1, 0, 0, 0, 0
	t.incarnation = t.info.Incarnation
	if t.info.Known && t.info.Level > 0 {
		t.level = t.info.Level
	}
	e.takeRelease(i)
	e.markObserved(i)
}

func (e *Engine) leadDrained(i int32) {
	t := &e.targets[i]
	t.draining = false
	e.drained = append(e.drained, viewDrained(t))
}

// leadRelease keeps the last level of a target from the lead before.
func (e *Engine) leadRelease(m model.LeadRelease) {
	for _, r := range m.Targets {
		if i, ok := e.targetIndex[r.Target]; ok {
			e.targets[i].released, e.targets[i].releasedAt = r, e.now
			e.takeRelease(i)
		}
	}
}

// takeRelease sets the level of a target that has not been used by this lead.
// A level counts only for the incarnation in which it was reached.
func (e *Engine) takeRelease(i int32) {
	t := &e.targets[i]
	if t.released.Target == "" || !t.lead.Self {
		return
	}
	if t.service == 0 && len(t.flight) == 0 && t.released.Level > 0 && e.now <= t.releasedAt+releaseMaxAge &&
		(t.incarnation == 0 || t.released.Incarnation == t.incarnation) {
		t.incarnation = t.released.Incarnation
		e.setLevel(i, t.released.Level)
	}
	t.released = model.ReleasedTarget{}
}

// setLevel changes the level; a change starts a new streak.
func (e *Engine) setLevel(i int32, level int) {
	t := &e.targets[i]
	level = max(1, min(level, t.slots))
	t.streak = 0
	if level != t.level {
		e.emit(model.Event{
			Name: "TargetLevel", Subject: string(t.id),
			Before: strconv.Itoa(t.level), After: strconv.Itoa(level), Warning: level < t.level,
		})
		t.level = level
		e.markObserved(i)
		e.markTarget(i)
	}
}

func (e *Engine) capLevel(i int32) {
	if t := &e.targets[i]; t.level > t.slots || t.level < 1 {
		e.setLevel(i, t.level)
	}
}

// noteIncarnation sets the level to 1 if the target has restarted.
func (e *Engine) noteIncarnation(i int32, n model.Incarnation) {
	t := &e.targets[i]
	if n <= t.incarnation {
		return // unknown, or a report from an earlier life
	}
	if t.incarnation != 0 {
		e.setLevel(i, 1)
	}
	t.incarnation = n
	e.markObserved(i)
}

func (e *Engine) markObserved(i int32) {
	if t := &e.targets[i]; !t.observedDirty {
		t.observedDirty = true
		e.observed = append(e.observed, i)
	}
}

// probeReply takes the incarnation of a target from its health report. The
// report's load may lag or mislead, so it changes nothing.
func (e *Engine) probeReply(in model.ProbeReply) {
	i, ok := e.targetIndex[in.Target]
	if ok && in.OK && e.targets[i].lead.Self {
		e.noteIncarnation(i, in.Report.Incarnation)
	}
}

// learn takes from a reply what it says about the target.
func (e *Engine) learn(w *work, in *model.TargetReply) {
	i := w.target
	t := &e.targets[i]
	e.noteIncarnation(i, in.Answer.Incarnation)
	if in.Answer.Load.InFlight > 0 {
		t.foreign = max(0, in.Answer.Load.InFlight-w.most)
	}
	switch {
	case in.Error == model.KindCancelled:
		// Says nothing about the target.
	case in.Reset:
		e.setLevel(i, 1)
	case in.Error == model.KindTargetShed:
		e.setLevel(i, t.level/2)
	case in.Error != model.KindNone:
		t.streak = 0
	default:
		e.completed(i, in)
	}
}

func (e *Engine) completed(i int32, in *model.TargetReply) {
	t := &e.targets[i]
	if t.service > 0 && in.Latency > jumpFactor*t.service && in.Latency > jumpFloor {
		t.slow++
		t.streak = 0
		if t.slow < jumpRun {
			return
		}
		e.setLevel(i, 1)
		t.slow, t.service = 0, in.Latency
		return
	}
	t.slow = 0
	t.service = average(t.service, in.Latency)
	// An answer of an earlier life says nothing about the present one.
	if in.Answer.Incarnation != 0 && in.Answer.Incarnation < t.incarnation {
		return
	}
	t.streak++
	if t.streak >= e.limits.WarmStep && t.level < t.slots {
		e.setLevel(i, t.level+1)
	}
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/latencyWeight
}
