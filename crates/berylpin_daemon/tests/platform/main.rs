//! Daemons of the users' platform, run as processes on stand-ins.

mod connections;
mod news;
mod process;
mod soak;
