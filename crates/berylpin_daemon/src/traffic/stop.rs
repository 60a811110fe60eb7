//! The end of a planned stop: threads end together.

use berylpin_core::ids::{Key, ThreadId};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Marks a thread as done however it ends, so that the others do not wait for it.
pub(super) struct StopGuard {
    barrier: StopBarrier,
    thread: ThreadId,
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.barrier.update(self.thread, true);
    }
}

/// Says which threads of a stopping daemon have no work left.
///
/// A thread that is done may get work from one that is not, and carries links for it, so none ends
/// before all are done.
#[derive(Clone)]
pub(crate) struct StopBarrier {
    done: Arc<[AtomicBool]>,
}

impl StopBarrier {
    pub(crate) fn new(threads: usize) -> Self {
        Self { done: (0..threads).map(|_| AtomicBool::new(false)).collect() }
    }

    pub(super) fn guard(&self, thread: ThreadId) -> StopGuard {
        StopGuard { barrier: self.clone(), thread }
    }

    /// Records whether a thread is done and returns whether all are.
    pub(super) fn update(&self, thread: ThreadId, done: bool) -> bool {
        self.done[thread.index()].store(done, Ordering::SeqCst);
        self.done.iter().all(|done| done.load(Ordering::SeqCst))
    }
}

#[cfg(test)]
mod tests;
