//! Timers of one state machine; the shell sleeps until the earliest.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Timers ordered by time; a timer that lost its purpose is ignored when it fires.
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
    /// Sets a timer.
    pub(crate) fn set(&mut self, at: Instant, timer: T) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Returns how many timers are set, dead ones included.
    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }

    /// Drops the timers that `keep` turns down.
    pub(crate) fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(Instant, &T) -> bool,
    {
        self.heap.retain(|Reverse((at, timer))| keep(*at, timer));
    }

    /// Drops the earliest timers for as long as `lives` turns them down.
    pub(crate) fn drop_dead<F>(&mut self, lives: F)
    where
        F: Fn(&T) -> bool,
    {
        while self.heap.peek().is_some_and(|Reverse((_, timer))| !lives(timer)) {
            self.heap.pop();
        }
    }

    /// Returns when the earliest timer fires.
    pub(crate) fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns a timer that is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
