package query

import (
	"strconv"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

const (
	// averageDivisor is the share of a new sample in a moving average.
	averageDivisor = 8
	// Three consecutive replies above 4 times the average and above 20 ms are
	// a latency jump (design 3.2): the target has fallen back to a cold start.
	jumpReplies    = 3
	jumpFactor     = 4
	jumpMinLatency = 20 * time.Millisecond
	// A release that arrived earlier than this before the lead changed belongs
	// to an earlier handover.
	releaseMaxAge = 2 * view.HandoverWait
)

// warmupState is what the lead knows of how much a target can sustain.
type warmupState struct {
	level           int // 1 to slots
	streak          int // successful completions in a row at this level
	incarnation     model.Incarnation
	serviceTime     time.Duration // moving average of the latency
	jumpStreak      int           // replies in a row that look like a jump
	foreignInFlight int           // work of others that the target reported

	release      model.ReleasedTarget // last word of the lead before, if any
	releaseAt    time.Duration
	leadDraining bool // no longer led, work still in flight
	unreported   bool
}

// allowedInFlight is the work that the target may have in flight from this lead.
func (t *target) allowedInFlight() int {
	return max(1, min(t.level, t.slots-t.foreignInFlight))
}

// handleLeadChange runs when this instance starts or stops leading a target.
func (e *Engine) handleLeadChange(i int32) {
	t := &e.targets[i]
	if !t.lead.Self {
		t.leadDraining = true
		e.markTargetDirty(i)
		return
	}
	if t.leadDraining {
		// Led again before the last work ended: what was learned still holds,
		// but the lead in between may have seen the target fall back.
		t.leadDraining = false
		if t.info.Level > 0 {
			e.setLevel(i, min(t.level, t.info.Level))
		}
		return
	}
	t.level, t.streak, t.jumpStreak, t.foreignInFlight, t.serviceTime = 1, 0, 0, 0, 0
	t.incarnation = t.info.Incarnation
	if t.info.Known && t.info.Level > 0 {
		t.level = t.info.Level
	}
	e.applyRelease(i)
	e.markUnreported(i)
}

func (e *Engine) reportDrained(i int32) {
	t := &e.targets[i]
	t.leadDraining = false
	e.drained = append(e.drained, newDrained(t))
}

// handleLeadRelease keeps the last level of a target from the lead before.
func (e *Engine) handleLeadRelease(m model.LeadRelease) {
	for _, r := range m.Targets {
		if i, ok := e.targetIndex[r.Target]; ok {
			e.targets[i].release, e.targets[i].releaseAt = r, e.now
			e.applyRelease(i)
		}
	}
}

// applyRelease sets the level of a target that has not been used by this lead.
// A level counts only for the incarnation in which it was reached.
func (e *Engine) applyRelease(i int32) {
	t := &e.targets[i]
	if t.release.Target == "" || !t.lead.Self {
		return
	}
	if t.serviceTime == 0 && len(t.inFlight) == 0 && t.release.Level > 0 && e.now <= t.releaseAt+releaseMaxAge &&
		(t.incarnation == 0 || t.release.Incarnation == t.incarnation) {
		t.incarnation = t.release.Incarnation
		e.setLevel(i, t.release.Level)
	}
	t.release = model.ReleasedTarget{}
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
		e.markUnreported(i)
		e.markTargetDirty(i)
	}
}

func (e *Engine) clampLevel(i int32) {
	if t := &e.targets[i]; t.level > t.slots || t.level < 1 {
		e.setLevel(i, t.level)
	}
}

// updateIncarnation sets the level to 1 if the target has restarted.
func (e *Engine) updateIncarnation(i int32, n model.Incarnation) {
	t := &e.targets[i]
	if n <= t.incarnation {
		return // unknown, or a report from an earlier life
	}
	if t.incarnation != 0 {
		e.setLevel(i, 1)
	}
	t.incarnation = n
	e.markUnreported(i)
}

func (e *Engine) markUnreported(i int32) {
	if t := &e.targets[i]; !t.unreported {
		t.unreported = true
		e.unreported = append(e.unreported, i)
	}
}

// handleProbeReply takes the incarnation of a target from its health report. The
// report's load may lag or mislead, so it changes nothing.
func (e *Engine) handleProbeReply(in model.ProbeReply) {
	i, ok := e.targetIndex[in.Target]
	if ok && in.OK && e.targets[i].lead.Self {
		e.updateIncarnation(i, in.Report.Incarnation)
	}
}

// updateFromReply takes from a reply what it says about the target.
func (e *Engine) updateFromReply(w *work, in *model.TargetReply) {
	i := w.target
	t := &e.targets[i]
	e.updateIncarnation(i, in.Answer.Incarnation)
	if in.Answer.Load.InFlight > 0 {
		t.foreignInFlight = max(0, in.Answer.Load.InFlight-w.peakOccupied)
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
		e.recordCompletion(i, in)
	}
}

func (e *Engine) recordCompletion(i int32, in *model.TargetReply) {
	t := &e.targets[i]
	if t.serviceTime > 0 && in.Latency > jumpFactor*t.serviceTime && in.Latency > jumpMinLatency {
		t.jumpStreak++
		t.streak = 0
		if t.jumpStreak < jumpReplies {
			return
		}
		e.setLevel(i, 1)
		t.jumpStreak, t.serviceTime = 0, in.Latency
		return
	}
	t.jumpStreak = 0
	t.serviceTime = movingAverage(t.serviceTime, in.Latency)
	// An answer of an earlier life says nothing about the present one.
	if in.Answer.Incarnation != 0 && in.Answer.Incarnation < t.incarnation {
		return
	}
	t.streak++
	if t.streak >= e.limits.WarmStep && t.level < t.slots {
		e.setLevel(i, t.level+1)
	}
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/averageDivisor
}
