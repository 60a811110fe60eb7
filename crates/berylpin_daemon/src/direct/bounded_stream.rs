//! TCP streams of replicas that stop reading at a limit.
//!
//! A replica in trouble may send without end: one header line, interim answers, or a body. The
//! HTTP library reads on as long as it makes progress, so the limit is enforced below it: each
//! stage of an exchange allows a number of bytes, and the stream fails once they are used up.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum size of the head of an answer together with all interim answers, in bytes. The start
/// of the body may be read along with the head and counts as well.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;

/// The maximum number of bytes of blank lines before an answer, which the HTTP library skips.
const MAX_BLANK_BYTES: usize = 64;

/// The bytes that a replica may send after a complete answer, such as a surplus answer, before the
/// connection fails. They are never part of another answer.
const MAX_SURPLUS_BYTES: usize = 4 << 10;

/// The bytes that may still be read from a stream; shared by the stream and its user.
#[derive(Clone, Default)]
pub(super) struct Allowance(Rc<AllowanceState>);

#[derive(Default)]
struct AllowanceState {
    bytes: Cell<usize>,
    /// The bytes of blank lines that may still precede the head; `None` once it has begun.
    blank_bytes: Cell<Option<usize>>,
    /// Whether the replica sent more than was allowed.
    exceeded: Cell<bool>,
}

impl Allowance {
    /// Allows the head of an answer.
    pub(super) fn start_head(&self) {
        self.0.bytes.set(MAX_HEAD_BYTES);
        self.0.blank_bytes.set(Some(MAX_BLANK_BYTES));
    }

    /// Allows a body of at most `limit` bytes and its chunk headers.
    pub(super) fn start_body(&self, limit: usize) {
        self.0.bytes.set(limit.saturating_add(limit / 2).saturating_add(MAX_HEAD_BYTES));
    }

    /// Allows nothing but a few surplus bytes, after an answer.
    pub(super) fn end_answer(&self) {
        self.0.bytes.set(MAX_SURPLUS_BYTES);
    }

    /// Takes what was read from the allowance; returns whether it sufficed.
    fn try_take(&self, read: &[u8]) -> bool {
        let Some(left) = self.0.bytes.get().checked_sub(read.len()) else { return false };
        self.0.bytes.set(left);
        let Some(blank_left) = self.0.blank_bytes.get() else { return true };
        let blank = read.iter().take_while(|byte| b"\r\n".contains(byte)).count();
        let left = if blank == read.len() { blank_left.checked_sub(blank) } else { None };
        self.0.blank_bytes.set(left);
        left.is_some() || blank < read.len()
    }

    /// Returns whether the replica sent more than was allowed.
    pub(super) fn is_exceeded(&self) -> bool {
        self.0.exceeded.get()
    }
}

/// A stream that reads at most what its allowance permits.
pub(super) struct BoundedStream {
    tcp: TcpStream,
    allowance: Allowance,
}

impl BoundedStream {
    pub(super) fn new(tcp: TcpStream, allowance: Allowance) -> Self {
        Self { tcp, allowance }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowed = self.allowance.0.bytes.get();
        let before = buf.filled().len();
        let polled = if buf.remaining() <= allowed {
            Pin::new(&mut self.tcp).poll_read(cx, buf)
        } else {
            // One byte more than allowed shows that the replica goes on sending.
            let len = buf.remaining().min(allowed + 1);
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(len));
            let polled = Pin::new(&mut self.tcp).poll_read(cx, &mut part);
            let read = part.filled().len();
            buf.advance(read);
            polled
        };
        if !self.allowance.try_take(&buf.filled()[before..]) {
            self.allowance.0.exceeded.set(true);
            return Poll::Ready(Err(io::Error::other("answer exceeds its limit")));
        }
        polled
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
