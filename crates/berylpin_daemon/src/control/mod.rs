//! The control thread: carries out what the control state decides.

mod links;
mod mailbox;
mod thread;
mod watch;

pub(crate) use mailbox::{ControlMail, ControlMailbox};
pub(crate) use thread::{ControlContext, new_controller, run_control};
