package query

import (
	"strconv"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

const (
	// averageDivisor is the reciprocal of a new sample's weight in a moving average.
	averageDivisor = 8
	// jumpReplies consecutive replies slower than both jumpFactor times the
	// average and jumpMinLatency are a latency jump (design 3.2): the target has
	// fallen back to a cold start.
	jumpReplies    = 3
	jumpFactor     = 4
	jumpMinLatency = 20 * time.Millisecond
	// releaseMaxAge bounds the time from the arrival of a release until this
	// instance becomes the lead. An older release belongs to an earlier handover.
	releaseMaxAge = 2 * view.HandoverTimeout
)

// warmupState is the lead's estimate of how much work a target can sustain.
type warmupState struct {
	level           int // warm-up level: requests that the target can sustain in flight, 1 to slots
	streak          int // consecutive successful replies at this level
	incarnation     model.Incarnation
	serviceTime     time.Duration // moving average of the target's latency; zero before the first reply
	jumpStreak      int           // consecutive replies slow enough for a latency jump
	foreignInFlight int           // requests from other instances in flight, according to the target's load report

	release      model.ReleasedTarget // unapplied release from the previous lead, if any
	releaseAt    time.Duration        // arrival of release
	leadDraining bool                 // this instance no longer leads the target, but its work is still in flight
	unreported   bool                 // listed in Engine.unreported
}

// allowedInFlight returns the number of requests that this lead may have in flight
// at the target.
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
		// The lead came back before the last work ended. The warm-up state still
		// holds, but the lead in between may have lowered the level.
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

// reportDrained adds the target to the drained targets of the tick's report: this
// instance is no longer its lead and has no more work in flight there.
func (e *Engine) reportDrained(i int32) {
	t := &e.targets[i]
	t.leadDraining = false
	e.drained = append(e.drained, newDrained(t))
}

// handleLeadRelease records the level at which the previous lead released each
// target, and applies it if this instance is already the lead.
func (e *Engine) handleLeadRelease(m model.LeadRelease) {
	for _, r := range m.Targets {
		if i, ok := e.targetIndex[r.Target]; ok {
			e.targets[i].release, e.targets[i].releaseAt = r, e.now
			e.applyRelease(i)
		}
	}
}

// applyRelease sets the level from the release, unless this lead has already used
// the target or the release is too old. A level is valid only for the incarnation
// in which it was reached.
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

// setLevel sets the level, clamped to the range 1 to slots, and ends the streak.
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

// clampLevel brings the level back into the range 1 to slots.
func (e *Engine) clampLevel(i int32) {
	if t := &e.targets[i]; t.level > t.slots || t.level < 1 {
		e.setLevel(i, t.level)
	}
}

// updateIncarnation records the incarnation of a target. If the target has
// restarted, the level becomes 1.
func (e *Engine) updateIncarnation(i int32, incarnation model.Incarnation) {
	t := &e.targets[i]
	if incarnation <= t.incarnation {
		return // unknown, already recorded, or an earlier incarnation
	}
	if t.incarnation != 0 {
		e.setLevel(i, 1)
	}
	t.incarnation = incarnation
	e.markUnreported(i)
}

// markUnreported adds the target to the observations of the next report.
func (e *Engine) markUnreported(i int32) {
	if t := &e.targets[i]; !t.unreported {
		t.unreported = true
		e.unreported = append(e.unreported, i)
	}
}

// handleProbeReply records the incarnation of a led target from its health
// report. The load in the report may be old or wrong and is ignored.
func (e *Engine) handleProbeReply(in model.ProbeReply) {
	i, ok := e.targetIndex[in.Target]
	if ok && in.OK && e.targets[i].lead.Self {
		e.updateIncarnation(i, in.Report.Incarnation)
	}
}

// updateFromReply updates the warm-up state of the target from a reply.
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

// recordCompletion updates the latency and the level after a successful reply.
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
	// A reply from an earlier incarnation says nothing about the present one.
	if in.Answer.Incarnation != 0 && in.Answer.Incarnation < t.incarnation {
		return
	}
	t.streak++
	if t.streak >= e.limits.WarmStep && t.level < t.slots {
		e.setLevel(i, t.level+1)
	}
}

// movingAverage returns the exponentially weighted moving average after a new
// sample. An old average of zero means that there was no sample before.
func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/averageDivisor
}
