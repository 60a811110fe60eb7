//! The bodies of answers to callers, and the callers that are cut off since they take one too
//! slowly while its memory is needed.

use super::connections::AwaitedAnswer;
use crate::logging::Log;
use berylpin_core::direct::{Deliveries, Delivery, DeliveryKey};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use metrics::counter;
use slog::info;
use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The length of the pieces in which a long answer is passed to its connection.
const PIECE_BYTES: usize = 64 << 10;

/// A connection of a caller, which is closed once this is notified.
#[derive(Clone, Default)]
pub(super) struct CallerConnection(Rc<Notify>);

impl CallerConnection {
    /// Waits until the caller is to be cut off.
    pub(super) async fn cut_off(&self) {
        self.0.notified().await;
    }

    /// Cuts off the caller.
    pub(super) fn notify_cut_off(&self) {
        self.0.notify_one();
    }
}

/// The long answers that are being delivered to callers.
pub(super) struct CallerDeliveries {
    log: Log,
    deliveries: RefCell<Deliveries<(CallerConnection, String)>>,
}

impl CallerDeliveries {
    pub(super) fn new(log: Log) -> Self {
        Self { log, deliveries: RefCell::default() }
    }

    /// Cuts off the callers that are furthest behind, for `needed` bytes of memory, and waits until
    /// their connections are closed. Nobody is cut off if that would not be enough.
    pub(super) async fn reclaim(&self, needed: usize, now: Instant) {
        let lagging = self.deliveries.borrow_mut().take_lagging(needed, now);
        if lagging.is_empty() {
            return;
        }
        for Delivery { bytes, taken, started, connection: (connection, request), .. } in lagging {
            let elapsed = now.saturating_duration_since(started).as_millis() as u64;
            info!(self.log, "caller: answer cut off"; "request" => request, "bytes" => bytes,
                "taken" => taken, "elapsed_ms" => elapsed);
            counter!("berylpin_answers_cut_off_total").increment(1);
            connection.notify_cut_off();
        }
        // The notified tasks run first; each drops its connection and the answer in it.
        tokio::task::yield_now().await;
    }
}

/// The body of an answer to a caller.
pub(super) struct CallerBody {
    /// What the connection has not taken yet.
    rest: Bytes,
    /// `None` for an answer that is passed to the connection as a whole.
    delivery: Option<(Rc<CallerDeliveries>, DeliveryKey)>,
    /// Keeps the connection from being closed for another caller; `None` for an answer that the
    /// caller has not waited for with a whole request.
    awaited: Option<AwaitedAnswer>,
}

impl CallerBody {
    /// Returns a body that is passed to the connection as a whole.
    pub(super) fn whole(body: Bytes) -> Self {
        Self { rest: body, delivery: None, awaited: None }
    }

    /// Sets the answer for which the caller waits until the connection has taken this body.
    pub(super) fn set_awaited(&mut self, awaited: AwaitedAnswer) {
        self.awaited = Some(awaited);
    }

    /// Returns the body of an answer to the request with the id `request`; a long one is passed to
    /// the connection in pieces, and cut off if its caller falls behind and its memory is needed.
    pub(super) fn relayed(
        body: Bytes,
        (request, time_left): (String, Duration),
        (deliveries, connection): (Rc<CallerDeliveries>, CallerConnection),
        now: Instant,
    ) -> Self {
        if body.len() <= PIECE_BYTES {
            return Self::whole(body);
        }
        let caller = (connection, request);
        let key = deliveries.deliveries.borrow_mut().start(body.len(), time_left, caller, now);
        Self { rest: body, delivery: Some((deliveries, key)), awaited: None }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let Some((deliveries, key)) = &self.delivery else {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.rest)))));
        };
        let len = self.rest.len().min(PIECE_BYTES);
        deliveries.deliveries.borrow_mut().record_taken(*key, len);
        // A slice would keep the whole answer in memory until the connection has sent it.
        let piece = Bytes::copy_from_slice(&self.rest.split_to(len));
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if let Some((deliveries, key)) = &self.delivery {
            deliveries.deliveries.borrow_mut().end(*key);
        }
    }
}
