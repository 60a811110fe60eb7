//! One module a subcommand.

pub(crate) mod demo;
