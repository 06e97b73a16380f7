package proxy

// takeStreamSlot limits the calls that occupy slots of the target while their bodies
// still arrive: their clients decide how long that takes. The other slots are left to
// calls that the target can run at once. A call whose body is buffered is not limited.
func (in *Inbound) takeStreamSlot(c *call, b *Backend) *refusal {
	percent := in.opts.Bodies.StreamSlotPercent
	if !c.body.streamed || percent == 0 || holdOf(c.w).TakeSlot(streamSlots(b.Gate.Slots(), percent)) {
		return nil
	}
	f := notRun(causeStreams, "too many bodies are being streamed to the target", nil)
	f.retryAfter = b.Gate.ExpectedWait(c.work.priority)
	f.overloaded = true
	return f
}

// streamSlots returns the slots that calls with streamed bodies may occupy, at least 1.
func streamSlots(slots, percent int) int { return max(1, slots*percent/100) }
