//! Traffic threads: queries, replicas and links.

mod connections;
mod execute;
mod link;
mod mailbox;
mod peers;
mod stop;
mod thread;
mod upstream;

pub(crate) use execute::ExecuteMail;
pub(crate) use link::{LinkFrame, run_link};
pub(crate) use mailbox::{Mail, Mailbox, Mailboxes};
pub(crate) use peers::serve_peers;
pub(crate) use stop::StopGate;
pub(crate) use thread::{ThreadContext, run_thread};
