//! One module a subcommand.

pub(crate) mod demo;
pub(crate) mod experiment;
