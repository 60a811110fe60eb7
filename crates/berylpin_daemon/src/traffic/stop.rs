//! Synchronises the end of the traffic threads in a graceful stop.

use berylpin_core::ids::{Key, ThreadId};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Marks a thread as done when dropped, also after a panic, so that no other thread waits for it.
pub(super) struct StopGuard {
    barrier: StopBarrier,
    thread: ThreadId,
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.barrier.update(self.thread, true);
    }
}

/// Records which threads of a stopping daemon have no work left.
///
/// A thread that is not done may still send work to one that is, and may use links that run on the
/// other thread, so no thread ends before all are done.
#[derive(Clone)]
pub(crate) struct StopBarrier {
    /// Indexed by thread.
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
