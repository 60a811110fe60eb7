//! Anti-replay windows over the attempts of each holder.

use super::message::AttemptId;
use crate::ids::ThreadId;

/// Maximum number of windows; the window with the least recent attempt is evicted.
const MAX_WINDOWS: usize = 4096;

/// Number of attempts covered by a window.
const WINDOW_BITS: u32 = u128::BITS;

/// Detects attempts that one owner thread already received.
///
/// Links deliver each frame at most once and in order, so a duplicate is not expected; the guard is
/// defence in depth.
#[derive(Debug, Default)]
pub(super) struct ReplayGuard {
    /// Sorted by holder.
    windows: Vec<Window>,
    /// Number of attempts received so far.
    received: u64,
}

#[derive(Debug)]
struct Window {
    /// Incarnation and thread of the holder.
    holder: (u64, ThreadId),
    /// Highest attempt number received.
    highest: u64,
    /// Bit `n` is set if attempt `highest - n` was received.
    seen: u128,
    /// Value of [`ReplayGuard::received`] at the most recent attempt.
    last_received: u64,
}

impl ReplayGuard {
    /// Records an attempt and returns whether it is new.
    ///
    /// An attempt older than the window counts as received before.
    pub(super) fn accept(&mut self, attempt: AttemptId) -> bool {
        let holder = (attempt.incarnation, attempt.thread);
        let number = attempt.number;
        self.received += 1;
        let last_received = self.received;
        let at = match self.windows.binary_search_by_key(&holder, |window| window.holder) {
            Ok(at) => at,
            Err(at) => {
                self.windows.insert(at, Window { holder, highest: number, seen: 1, last_received });
                self.evict_least_recent();
                return true;
            }
        };
        let window = &mut self.windows[at];
        window.last_received = last_received;
        if number > window.highest {
            let shift = u32::try_from(number - window.highest).unwrap_or(WINDOW_BITS);
            window.seen = window.seen.checked_shl(shift).unwrap_or(0) | 1;
            window.highest = number;
            return true;
        }
        let age = u32::try_from(window.highest - number).unwrap_or(WINDOW_BITS);
        let Some(bit) = 1_u128.checked_shl(age) else { return false };
        let is_new = window.seen & bit == 0;
        window.seen |= bit;
        is_new
    }

    fn evict_least_recent(&mut self) {
        if self.windows.len() <= MAX_WINDOWS {
            return;
        }
        let least_recent =
            self.windows.iter().enumerate().min_by_key(|(_, window)| window.last_received);
        if let Some((at, _)) = least_recent {
            self.windows.remove(at);
        }
    }
}

#[cfg(test)]
mod tests;
