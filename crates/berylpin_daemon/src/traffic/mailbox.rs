//! What threads send to a traffic thread.

use super::execute::ExecuteMail;
use super::link::LinkFrame;
use berylpin_core::control::View;
use berylpin_core::execute::{AttemptId, ExecuteMessage};
use berylpin_core::ids::{Key, MemberId, ReplicaId, ThreadId};
use berylpin_core::message::{Batch, QueryMessage, SubQuery};
use berylpin_core::query::{Answer, Refusal, Request, Ticket};
use berylpin_core::replica::{CallKey, CallResult, ProbeResult};
use std::sync::Arc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for a thread; one that does not fit counts as lost.
const MAILBOX_SIZE: usize = 64 * 1024;

/// A message to a traffic thread.
pub(crate) enum Mail {
    /// Control state changed; `links` is indexed by member.
    View { view: Arc<View>, links: Vec<Option<mpsc::Sender<LinkFrame>>> },
    /// A caller sent a request.
    Request { ticket: Ticket, request: Request, reply: oneshot::Sender<Result<Answer, Refusal>> },
    /// The caller does not wait any more.
    CallerDisconnected(Ticket),
    /// A daemon, which may be this one, sent a message.
    Message(MemberId, QueryMessage),
    /// A call to an upstream ended.
    CallEnded(CallKey, CallResult),
    /// A probe of an upstream ended.
    ProbeEnded(ReplicaId, ProbeResult),
    /// The link to a daemon broke.
    LinkDown(MemberId),
    /// Something happened to a non-idempotent request.
    Execute(ExecuteMail),
    /// The thread is to end once it has no work left.
    Stop,
}

/// The sending end of a thread's mailbox.
#[derive(Clone)]
pub(crate) struct Mailbox {
    tx: mpsc::Sender<Mail>,
}

impl Mailbox {
    pub(crate) fn new() -> (Self, mpsc::Receiver<Mail>) {
        let (tx, rx) = mpsc::channel(MAILBOX_SIZE);
        (Self { tx }, rx)
    }

    /// Sends a message that must not be lost and may arrive late; later ones may overtake it.
    ///
    /// Call it within a runtime, which waits for room if there is none.
    pub(crate) fn send_or_defer(&self, mail: Mail) {
        if let Err(TrySendError::Full(mail)) = self.tx.try_send(mail) {
            metrics::counter!("berylpin_mailbox_overflows_total").increment(1);
            let mailbox = self.clone();
            tokio::spawn(async move { mailbox.send(mail).await });
        }
    }

    /// Sends a message and returns whether it fitted.
    pub(crate) fn try_send(&self, mail: Mail) -> bool {
        let sent = self.tx.try_send(mail).is_ok();
        if !sent {
            metrics::counter!("berylpin_mailbox_overflows_total").increment(1);
        }
        sent
    }

    /// Sends a message that must not be lost; waits until it fits.
    pub(crate) async fn send(&self, mail: Mail) {
        // An error means that the thread has ended and needs no mail.
        let _ = self.tx.send(mail).await;
    }
}

/// The mailboxes of all traffic threads, indexed by thread.
#[derive(Clone)]
pub(crate) struct Mailboxes {
    boxes: Arc<[Mailbox]>,
}

impl Mailboxes {
    pub(crate) fn new(boxes: Vec<Mailbox>) -> Self {
        Self { boxes: boxes.into() }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Mailbox> {
        self.boxes.iter()
    }

    /// Returns the mailbox of a thread; the id may come from another daemon.
    pub(crate) fn get(&self, thread: ThreadId) -> Option<&Mailbox> {
        self.boxes.get(thread.index())
    }

    /// Hands a message about a non-idempotent request to its thread.
    pub(crate) fn deliver_execute(&self, from: MemberId, message: ExecuteMessage) {
        let thread = message.thread(self.boxes.len());
        let attempt = message.run_attempt();
        // The key may come from a process with more threads; any thread refuses it.
        let Some(mailbox) = self.get(thread).or_else(|| self.boxes.first()) else { return };
        let sent = mailbox.try_send(Mail::Execute(ExecuteMail::Message(from, message)));
        if !sent && let Some(attempt) = attempt {
            self.report_undelivered(attempt);
        }
    }

    /// Tells the thread of a holder that an attempt was dropped before any of it was written.
    pub(crate) fn report_undelivered(&self, attempt: AttemptId) {
        if let Some(mailbox) = self.get(attempt.thread) {
            mailbox.try_send(Mail::Execute(ExecuteMail::Undelivered(attempt)));
        }
    }

    /// Hands a message from a daemon to the threads that it concerns.
    pub(crate) fn deliver(&self, from: MemberId, message: QueryMessage) {
        match message {
            QueryMessage::Batch(batch) => self.deliver_batch(from, batch),
            QueryMessage::Cancel(parts) => self.for_each_thread(
                parts,
                |part| part.replica,
                |p| Mail::Message(from, QueryMessage::Cancel(p)),
            ),
            QueryMessage::Inquire { thread, replicas } => {
                self.for_each_thread(
                    replicas,
                    |tag| *tag,
                    |replicas| Mail::Message(from, QueryMessage::Inquire { thread, replicas }),
                );
            }
            QueryMessage::Reply(reply) => {
                if let Some(mailbox) = self.get(reply.attempt.thread) {
                    mailbox.try_send(Mail::Message(from, QueryMessage::Reply(reply)));
                }
            }
            QueryMessage::Hints { thread, hints } => {
                if let Some(mailbox) = self.get(thread) {
                    mailbox.try_send(Mail::Message(from, QueryMessage::Hints { thread, hints }));
                }
            }
        }
    }

    fn deliver_batch(&self, from: MemberId, batch: Batch) {
        let Batch { query, rank, time_left, snapshot, body, parts } = batch;
        self.for_each_thread(
            parts,
            |part: &SubQuery| part.replica,
            |parts| {
                let batch = Batch { query, rank, time_left, snapshot, body: body.clone(), parts };
                Mail::Message(from, QueryMessage::Batch(batch))
            },
        );
    }

    fn for_each_thread<T, F, M>(&self, items: Vec<T>, replica_of: F, mail: M)
    where
        F: Fn(&T) -> berylpin_core::ids::ReplicaTag,
        M: Fn(Vec<T>) -> Mail,
    {
        let mut by_thread: Vec<Vec<T>> = self.boxes.iter().map(|_| Vec::new()).collect();
        for item in items {
            by_thread[replica_of(&item).thread(self.boxes.len()).index()].push(item);
        }
        for (mailbox, items) in self.boxes.iter().zip(by_thread) {
            if !items.is_empty() {
                mailbox.try_send(mail(items));
            }
        }
    }
}

#[cfg(test)]
mod tests;
