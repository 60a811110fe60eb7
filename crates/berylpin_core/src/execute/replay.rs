//! Anti-replay windows: which attempts of each holder were seen.

use super::message::AttemptId;
use crate::ids::ThreadId;

/// Holders remembered at most.
const HOLDER_LIMIT: usize = 4096;

/// Attempts that each window covers.
const WINDOW_BITS: u32 = u128::BITS;

/// The attempts that one owner thread received.
///
/// Links deliver each frame at most once and in order, so this is a second line of defence.
#[derive(Debug, Default)]
pub(super) struct ReplayGuard {
    /// Sorted by holder.
    windows: Vec<Window>,
    /// Counts attempts received.
    received: u64,
}

#[derive(Debug)]
struct Window {
    holder: (u64, ThreadId),
    highest: u64,
    /// Bit `n` says whether attempt `highest - n` was seen.
    seen: u128,
    /// The value of `received` at the newest attempt.
    used: u64,
}

impl ReplayGuard {
    /// Records an attempt and returns whether it is new.
    ///
    /// An attempt older than the window counts as seen.
    pub(super) fn is_new(&mut self, attempt: AttemptId) -> bool {
        let holder = (attempt.incarnation, attempt.thread);
        let number = attempt.number;
        self.received += 1;
        let used = self.received;
        let at = match self.windows.binary_search_by_key(&holder, |window| window.holder) {
            Ok(at) => at,
            Err(at) => {
                self.windows.insert(at, Window { holder, highest: number, seen: 1, used });
                self.forget_oldest();
                return true;
            }
        };
        let window = &mut self.windows[at];
        window.used = used;
        if number > window.highest {
            let shift = u32::try_from(number - window.highest).unwrap_or(WINDOW_BITS);
            window.seen = window.seen.checked_shl(shift).unwrap_or(0) | 1;
            window.highest = number;
            return true;
        }
        let age = u32::try_from(window.highest - number).unwrap_or(WINDOW_BITS);
        let Some(bit) = 1_u128.checked_shl(age) else { return false };
        let new = window.seen & bit == 0;
        window.seen |= bit;
        new
    }

    fn forget_oldest(&mut self) {
        if self.windows.len() <= HOLDER_LIMIT {
            return;
        }
        let oldest = self.windows.iter().enumerate().min_by_key(|(_, window)| window.used);
        if let Some((at, _)) = oldest {
            self.windows.remove(at);
        }
    }
}

#[cfg(test)]
mod tests;
