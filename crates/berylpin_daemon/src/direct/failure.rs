//! Failures of the parts of a daemon that run as long as its threads.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Creates the channel by which parts report that they failed; each reports at most once.
pub(super) fn failure_channel() -> (FailureReporter, UnboundedReceiver<&'static str>) {
    let (failed, failures) = unbounded_channel();
    (FailureReporter { failed }, failures)
}

/// Reports parts that end with a panic.
#[derive(Clone)]
pub(super) struct FailureReporter {
    failed: UnboundedSender<&'static str>,
}

impl FailureReporter {
    /// Returns a guard that reports the part `name` if it is dropped by a panic.
    pub(super) fn guard(&self, name: &'static str) -> FailureGuard {
        FailureGuard { failed: self.failed.clone(), name }
    }

    /// Starts a task of this thread that reports its failure.
    pub(super) fn spawn_local<F>(&self, name: &'static str, task: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let guard = self.guard(name);
        tokio::task::spawn_local(async move {
            task.await;
            drop(guard);
        });
    }
}

/// Reports a part if it is dropped by a panic.
pub(super) struct FailureGuard {
    failed: UnboundedSender<&'static str>,
    name: &'static str,
}

impl Drop for FailureGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // An error means that the process is ending.
            let _ = self.failed.send(self.name);
        }
    }
}

#[cfg(test)]
mod tests;
