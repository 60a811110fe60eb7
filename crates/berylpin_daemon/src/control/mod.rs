//! The control thread, which carries out the actions of the controller.

mod links;
mod mailbox;
mod thread;
mod watch;

pub(crate) use mailbox::{ControlMail, ControlMailbox};
pub(crate) use thread::{ControlContext, new_controller, run_control};
