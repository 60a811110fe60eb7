//! Bodies of requests and answers, which are read into limited memory.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;

/// The memory that several bodies share.
pub(super) struct MemoryBudget {
    /// In bytes.
    available: Rc<Cell<usize>>,
}

/// The memory of one body; it is available again when dropped.
pub(super) struct ReservedMemory {
    available: Rc<Cell<usize>>,
    bytes: usize,
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
        Self { available: Rc::new(Cell::new(bytes)) }
    }

    /// Returns a reservation without memory.
    pub(super) fn reserve(&self) -> ReservedMemory {
        ReservedMemory { available: self.available.clone(), bytes: 0 }
    }
}

impl ReservedMemory {
    /// Reserves more memory; returns false if there is not enough.
    pub(super) fn try_extend(&mut self, bytes: usize) -> bool {
        let Some(rest) = self.available.get().checked_sub(bytes) else { return false };
        self.available.set(rest);
        self.bytes += bytes;
        true
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.bytes);
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

/// Reads a body of at most `limit` bytes.
///
/// A chunk is a slice of the connection's read buffer and keeps all of it in memory, so the chunks
/// are copied: a body in small pieces would otherwise take hundreds of times its length.
pub(super) async fn read_body(
    body: &mut Incoming,
    limit: usize,
    memory: &mut ReservedMemory,
) -> Result<Bytes, BodyError> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        if buf.len() + chunk.len() > limit {
            return Err(BodyError::TooLong);
        }
        if !memory.try_extend(chunk.len()) {
            return Err(BodyError::NoMemory);
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.into())
}
