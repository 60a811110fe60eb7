//! Slow start: a limit on calls in flight that grows with successful results.

/// Results that open one more slot of a replica that returned from ejection or drain.
const RECOVERY_STEP: u16 = 4;

/// A limit on calls in flight that grows from one to all slots as results arrive.
///
/// Thus a cold replica is not overloaded, and one that still fails receives one call at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotRamp {
    /// At least 1; may exceed the slots of the replica.
    open: u16,
    /// Results since the last slot opened; below `step`.
    successes: u16,
    /// Results that open one more slot.
    step: u16,
}

impl SlotRamp {
    /// Starts with one slot and opens one more with each result.
    pub(super) fn cold() -> Self {
        Self { open: 1, successes: 0, step: 1 }
    }

    /// Starts with one slot and opens one more with every `RECOVERY_STEP` results.
    pub(super) fn recovering() -> Self {
        Self { open: 1, successes: 0, step: RECOVERY_STEP }
    }

    /// Counts a result.
    pub(super) fn succeeded(&mut self) {
        self.successes += 1;
        if self.successes == self.step {
            self.successes = 0;
            self.open = self.open.saturating_add(1);
        }
    }

    /// Halves the limit, which grows again as results arrive.
    pub(super) fn halve(&mut self, slots: u16) {
        self.open = self.limit(slots).div_ceil(2);
        self.successes = 0;
    }

    /// Returns how many of `slots` may be used; at least 1.
    pub(super) fn limit(self, slots: u16) -> u16 {
        self.open.min(slots)
    }
}

#[cfg(test)]
mod tests;
