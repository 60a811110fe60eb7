//! How many of a replica's slots may be used.

/// Results in a row that open one more slot at a replica that came back after failures.
const RECOVERY_STEP: u16 = 4;

/// A limit on calls in progress that grows from one to all slots as results arrive.
///
/// A cold replica is not flooded, and one that still fails costs one call at a time.
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
    /// Starts with one slot; each result opens one more.
    pub(super) fn cold() -> Self {
        Self { open: 1, successes: 0, step: 1 }
    }

    /// Starts with one slot; several results open one more.
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

    /// Closes half of the slots; they open again as results arrive.
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
