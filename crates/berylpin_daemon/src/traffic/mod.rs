//! Traffic threads, which handle queries, executions and links.

mod authentication;
mod connections;
mod execute;
mod link;
mod mailbox;
mod peers;
mod stop;
mod thread;
mod upstream;

pub(crate) use execute::ExecuteMail;
pub(crate) use link::{LinkContext, LinkFrame, run_link};
pub(crate) use mailbox::{Mail, Mailbox, Mailboxes};
pub(crate) use peers::{PeerContext, serve_peers};
pub(crate) use stop::StopBarrier;
pub(crate) use thread::{ThreadContext, run_thread};
