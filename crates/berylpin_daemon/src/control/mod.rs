//! The control thread: reads the platform and publishes views.

mod platform;
mod thread;

pub(crate) use thread::{ControlContext, initial_view, run_control};
