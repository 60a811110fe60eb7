//! The pace at which callers take long answers, and which callers are cut off.
//!
//! Load pattern: a few callers take long answers slowly or not at all, and others ask for long
//! answers as well. All answers share a limited memory, so the slow callers would make the answers
//! of the others fail. Only when the memory is needed, callers are cut off that are behind a steady
//! pace at which they would have the whole answer at their deadline.

use crate::arena::{Slab, SlabKey};
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Identifies an answer that is being delivered; never reused.
pub type DeliveryKey = SlabKey;

/// The time that each caller has for its answer, even if it is ready only at the deadline.
const MIN_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// An answer that is being delivered; `C` is the shell's handle of the caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct Delivery<C> {
    /// The length of the answer, in bytes.
    pub bytes: usize,
    /// The bytes that the connection has taken; at most `bytes`.
    pub taken: usize,
    /// When the answer was ready.
    pub started: Instant,
    /// The time from `started` to the caller's deadline, and at least [`MIN_DELIVERY_TIME`].
    time_left: Duration,
    /// The caller's connection.
    pub connection: C,
}

/// The answers that are being delivered.
#[derive(Debug)]
pub struct Deliveries<C> {
    open: Slab<Delivery<C>>,
}

impl<C> Default for Deliveries<C> {
    fn default() -> Self {
        Self { open: Slab::default() }
    }
}

impl<C> Delivery<C> {
    /// Returns the number of bytes by which the caller is behind a steady pace.
    fn lag(&self, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.started);
        if elapsed < MIN_DELIVERY_TIME {
            return 0;
        }
        let due = elapsed.div_duration_f64(self.time_left).min(1.0) * self.bytes as f64;
        (due as usize).saturating_sub(self.taken)
    }
}

impl<C> Deliveries<C> {
    /// Adds an answer of `bytes` bytes for a caller that waits for another `time_left`.
    pub fn start(
        &mut self,
        bytes: usize,
        time_left: Duration,
        connection: C,
        now: Instant,
    ) -> DeliveryKey {
        let time_left = time_left.max(MIN_DELIVERY_TIME);
        self.open.insert(Delivery { bytes, taken: 0, started: now, time_left, connection })
    }

    /// Records that the connection took more bytes of an answer.
    pub fn record_taken(&mut self, key: DeliveryKey, bytes: usize) {
        if let Some(delivery) = self.open.get_mut(key) {
            delivery.taken = (delivery.taken + bytes).min(delivery.bytes);
        }
    }

    /// Removes an answer that was delivered, or whose connection closed.
    pub fn end(&mut self, key: DeliveryKey) {
        self.open.remove(key);
    }

    /// Removes and returns the deliveries to cut off for `needed` bytes of memory: those that are
    /// furthest behind. Returns none if all that are behind do not hold as much.
    pub fn take_lagging(&mut self, needed: usize, now: Instant) -> Vec<Delivery<C>> {
        let open = self.open.iter();
        let mut lagging: Vec<_> = open
            .map(|(key, delivery)| (delivery.lag(now), delivery.bytes, key))
            .filter(|(lag, ..)| *lag > 0)
            .collect();
        lagging.sort_unstable_by_key(|(lag, _, key)| (Reverse(*lag), *key));
        let mut freed = 0;
        let enough = lagging.iter().position(|(_, bytes, _)| {
            freed += bytes;
            freed >= needed
        });
        let Some(last) = enough else { return Vec::new() };
        lagging[..=last].iter().filter_map(|(.., key)| self.open.remove(*key)).collect()
    }
}

#[cfg(test)]
mod tests;
