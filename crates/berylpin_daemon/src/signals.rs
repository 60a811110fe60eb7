//! The signals by which a process is controlled.

use std::io;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// The process is to stop; holds the name of the signal.
    Stop(&'static str),
    /// The settings are to be read again.
    Reload,
}

/// Why a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake<T> {
    /// A signal arrived.
    Signal(Request),
    /// The event happened.
    Event(T),
    /// The time is over.
    Timeout,
}

/// The handlers of the signals.
///
/// A signal that arrives before its handler is installed ends the process, so this comes first in a
/// process. A signal that arrives while none is awaited is returned by the next call.
#[derive(Debug)]
pub struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses a handler or what it needs.
    pub fn install() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let entered = runtime.enter();
        let hang_up = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        drop(entered);
        Ok(Self { runtime, terminate, interrupt, hang_up })
    }

    /// Waits for a signal up to `timeout`; a request to stop comes before one to reload.
    pub fn wait(&mut self, timeout: Duration) -> Option<Request> {
        match self.wait_or(timeout, std::future::pending::<()>()) {
            Wake::Signal(request) => Some(request),
            Wake::Event(()) | Wake::Timeout => None,
        }
    }

    /// Waits for a signal or an event up to `timeout`; a request to stop comes first.
    pub fn wait_or<F>(&mut self, timeout: Duration, event: F) -> Wake<F::Output>
    where
        F: Future,
    {
        let Self { runtime, terminate, interrupt, hang_up } = self;
        runtime.block_on(async {
            tokio::select! {
                biased;
                _ = terminate.recv() => Wake::Signal(Request::Stop("SIGTERM")),
                _ = interrupt.recv() => Wake::Signal(Request::Stop("SIGINT")),
                result = event => Wake::Event(result),
                _ = hang_up.recv() => Wake::Signal(Request::Reload),
                () = tokio::time::sleep(timeout) => Wake::Timeout,
            }
        })
    }
}
