//! Mailboxes of the traffic threads.

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

/// Maximum number of messages in a mailbox; [`Mailbox::try_send`] discards messages beyond it.
const MAILBOX_CAPACITY: usize = 64 * 1024;

/// A message to a traffic thread.
pub(crate) enum Mail {
    /// The control state changed; `links` is indexed by member.
    View { view: Arc<View>, links: Vec<Option<mpsc::Sender<LinkFrame>>> },
    /// A caller sent a request.
    Request { ticket: Ticket, request: Request, reply: oneshot::Sender<Result<Answer, Refusal>> },
    /// The caller no longer waits for an answer.
    CallerDisconnected(Ticket),
    /// A daemon, which may be this one, sent a message.
    Message(MemberId, QueryMessage),
    /// A call to an upstream ended.
    CallEnded(CallKey, CallResult),
    /// A probe of an upstream ended.
    ProbeEnded(ReplicaId, ProbeResult),
    /// The link to a daemon failed; messages sent over it may be lost.
    LinkDown(MemberId),
    /// A message about non-idempotent requests.
    Execute(ExecuteMail),
    /// The daemon is stopping; the thread ends once no thread has work left.
    Stop,
}

/// The sending end of a thread's mailbox.
#[derive(Clone)]
pub(crate) struct Mailbox {
    tx: mpsc::Sender<Mail>,
}

impl Mailbox {
    pub(crate) fn new() -> (Self, mpsc::Receiver<Mail>) {
        let (tx, rx) = mpsc::channel(MAILBOX_CAPACITY);
        (Self { tx }, rx)
    }

    /// Sends a message that must not be lost; later messages may overtake it.
    ///
    /// If the mailbox is full, a task sends the message once there is space, so call this within a
    /// runtime.
    pub(crate) fn send_or_defer(&self, mail: Mail) {
        if let Err(TrySendError::Full(mail)) = self.tx.try_send(mail) {
            metrics::counter!("berylpin_mailbox_overflows_total").increment(1);
            let mailbox = self.clone();
            tokio::spawn(async move { mailbox.send(mail).await });
        }
    }

    /// Sends a message; discards it and returns false if the mailbox is full.
    pub(crate) fn try_send(&self, mail: Mail) -> bool {
        let sent = self.tx.try_send(mail).is_ok();
        if !sent {
            metrics::counter!("berylpin_mailbox_overflows_total").increment(1);
        }
        sent
    }

    /// Sends a message that must not be lost; waits while the mailbox is full.
    pub(crate) async fn send(&self, mail: Mail) {
        // An error means that the thread has ended, so the message is no longer needed.
        let _ = self.tx.send(mail).await;
    }
}

/// The mailboxes of all traffic threads, indexed by thread.
#[derive(Clone)]
pub(crate) struct Mailboxes {
    mailboxes: Arc<[Mailbox]>,
}

impl Mailboxes {
    pub(crate) fn new(mailboxes: Vec<Mailbox>) -> Self {
        Self { mailboxes: mailboxes.into() }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Mailbox> {
        self.mailboxes.iter()
    }

    /// Returns the mailbox of a thread; `None` if the id is out of range, as an id from another
    /// daemon may be.
    pub(crate) fn get(&self, thread: ThreadId) -> Option<&Mailbox> {
        self.mailboxes.get(thread.index())
    }

    /// Delivers a message about a non-idempotent request to the thread that handles it.
    pub(crate) fn deliver_execute(&self, from: MemberId, message: ExecuteMessage) {
        let thread = message.thread(self.mailboxes.len());
        let attempt = message.run_attempt();
        // The thread id in a key may come from a process with more threads than this one; any
        // thread refuses such a key.
        let Some(mailbox) = self.get(thread).or_else(|| self.mailboxes.first()) else { return };
        let sent = mailbox.try_send(Mail::Execute(ExecuteMail::Message(from, message)));
        if !sent && let Some(attempt) = attempt {
            self.report_undelivered(attempt);
        }
    }

    /// Reports to the holder's thread that an attempt was discarded before any byte was sent.
    ///
    /// Only a holder at this daemon receives the report; the report of an attempt of another daemon
    /// matches no key here and is ignored.
    pub(crate) fn report_undelivered(&self, attempt: AttemptId) {
        if let Some(mailbox) = self.get(attempt.thread) {
            mailbox.try_send(Mail::Execute(ExecuteMail::Undelivered(attempt)));
        }
    }

    /// Delivers a message about queries to the threads that handle it.
    pub(crate) fn deliver(&self, from: MemberId, message: QueryMessage) {
        match message {
            QueryMessage::Batch(batch) => self.deliver_batch(from, batch),
            QueryMessage::Cancel(sub_queries) => self.deliver_split(
                sub_queries,
                |sub_query| sub_query.replica,
                |sub_queries| Mail::Message(from, QueryMessage::Cancel(sub_queries)),
            ),
            QueryMessage::RequestHints { thread, replicas } => {
                self.deliver_split(
                    replicas,
                    |tag| *tag,
                    |replicas| Mail::Message(from, QueryMessage::RequestHints { thread, replicas }),
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
        let Batch { query, rank, time_left, snapshot, body, sub_queries } = batch;
        self.deliver_split(
            sub_queries,
            |sub_query: &SubQuery| sub_query.replica,
            |sub_queries| {
                let batch =
                    Batch { query, rank, time_left, snapshot, body: body.clone(), sub_queries };
                Mail::Message(from, QueryMessage::Batch(batch))
            },
        );
    }

    /// Splits items by the thread that handles their replica and sends one message to each thread.
    fn deliver_split<T, F, M>(&self, items: Vec<T>, replica_of: F, build_mail: M)
    where
        F: Fn(&T) -> berylpin_core::ids::ReplicaTag,
        M: Fn(Vec<T>) -> Mail,
    {
        let mut by_thread: Vec<Vec<T>> = self.mailboxes.iter().map(|_| Vec::new()).collect();
        for item in items {
            by_thread[replica_of(&item).thread(self.mailboxes.len()).index()].push(item);
        }
        for (mailbox, items) in self.mailboxes.iter().zip(by_thread) {
            if !items.is_empty() {
                mailbox.try_send(build_mail(items));
            }
        }
    }
}

#[cfg(test)]
mod tests;
