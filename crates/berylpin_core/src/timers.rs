//! Timers of one state machine; the shell sleeps until the earliest one is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// A queue of timers, earliest first.
///
/// Timers are not cancelled one by one: the state machine ignores an obsolete timer when it fires.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    heap: BinaryHeap<Reverse<(Instant, T)>>,
}

impl<T> Default for Timers<T>
where
    T: Ord,
{
    fn default() -> Self {
        Self { heap: BinaryHeap::new() }
    }
}

impl<T> Timers<T>
where
    T: Ord,
{
    pub(crate) fn set(&mut self, at: Instant, timer: T) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Returns the number of timers, obsolete ones included.
    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }

    /// Removes the timers for which `keep` returns false.
    pub(crate) fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(Instant, &T) -> bool,
    {
        self.heap.retain(|Reverse((at, timer))| keep(*at, timer));
    }

    /// Removes timers from the front of the queue until `is_live` returns true for the earliest.
    pub(crate) fn discard_obsolete<F>(&mut self, is_live: F)
    where
        F: Fn(&T) -> bool,
    {
        while self.heap.peek().is_some_and(|Reverse((_, timer))| !is_live(timer)) {
            self.heap.pop();
        }
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
