//! HTTP front ends: one for callers and one for operators and the load balancer.

mod admin;
mod caller;
mod caller_guard;
mod execute;
mod reply;
mod request;

pub(crate) use admin::{AdminState, admin_routes};
pub(crate) use caller::{CallerState, caller_routes};
