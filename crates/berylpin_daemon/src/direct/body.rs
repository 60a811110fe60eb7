//! Bodies of requests and answers, which are read into limited memory.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory that several bodies share.
pub(super) struct MemoryBudget {
    /// In bytes.
    available: Arc<AtomicUsize>,
}

/// The memory of one body; it is available again when dropped.
pub(super) struct ReservedMemory {
    available: Arc<AtomicUsize>,
    bytes: usize,
}

/// A body together with its memory.
struct HeldBody {
    body: Bytes,
    _memory: ReservedMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The body exceeds its limit.
    TooLong,
    /// The memory for bodies is used up.
    NoMemory,
    /// The connection failed before the end of the body.
    Broken,
}

impl MemoryBudget {
    pub(super) fn new(bytes: usize) -> Self {
        Self { available: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Returns the number of bytes that are not reserved.
    pub(super) fn available(&self) -> usize {
        self.available.load(Ordering::Relaxed)
    }

    /// Returns a reservation without memory.
    pub(super) fn reserve(&self) -> ReservedMemory {
        ReservedMemory { available: self.available.clone(), bytes: 0 }
    }
}

impl ReservedMemory {
    /// Reserves more memory; returns false if there is not enough.
    pub(super) fn try_extend(&mut self, bytes: usize) -> bool {
        let subtract = |available: usize| available.checked_sub(bytes);
        let reserved =
            self.available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok();
        if reserved {
            self.bytes += bytes;
        }
        reserved
    }

    /// Returns how much memory is lacking to reserve `bytes` more.
    fn shortfall(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.available.load(Ordering::Relaxed))
    }

    /// Makes all but `bytes` available again.
    fn shrink_to(&mut self, bytes: usize) {
        let rest = self.bytes.saturating_sub(bytes);
        self.bytes -= rest;
        self.available.fetch_add(rest, Ordering::Relaxed);
    }

    /// Returns a body that keeps its memory until the last reference to it is dropped.
    pub(super) fn hold(self, body: Bytes) -> Bytes {
        if body.is_empty() { body } else { Bytes::from_owner(HeldBody { body, _memory: self }) }
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.available.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the rest of a body, of at most `limit` bytes, without keeping it, so that the answer is not
/// lost in a reset of the connection.
pub(super) async fn discard_body(body: &mut Incoming, limit: usize) -> Result<(), BodyError> {
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        read += chunk.len();
        if read > limit {
            return Err(BodyError::TooLong);
        }
    }
    Ok(())
}

/// Reads a body of at most `limit` bytes, which holds its memory.
///
/// A chunk is a slice of the connection's read buffer and keeps all of it in memory, so the chunks
/// are copied: a body in small pieces would otherwise take hundreds of times its length. `reclaim`
/// is called with the number of bytes that are lacking and may make them available.
pub(super) async fn read_body<F>(
    body: &mut Incoming,
    limit: usize,
    mut memory: ReservedMemory,
    reclaim: F,
) -> Result<Bytes, BodyError>
where
    F: AsyncFn(usize),
{
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        if buf.len() + chunk.len() > limit {
            return Err(BodyError::TooLong);
        }
        let needed = buf.len() + chunk.len();
        if needed > buf.capacity() {
            let capacity = needed.max(2 * buf.capacity()).min(limit);
            let more = capacity - buf.capacity();
            if !memory.try_extend(more) {
                reclaim(memory.shortfall(more)).await;
                if !memory.try_extend(more) {
                    return Err(BodyError::NoMemory);
                }
            }
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&chunk);
    }
    buf.shrink_to_fit();
    memory.shrink_to(buf.len());
    Ok(memory.hold(buf.into()))
}

#[cfg(test)]
mod tests;
