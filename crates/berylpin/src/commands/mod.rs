//! The subcommands, one per module.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod delete;
pub(crate) mod demo;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod edit;
pub(crate) mod execute;
pub(crate) mod experiment;
pub(crate) mod get;
pub(crate) mod list;
pub(crate) mod log;
pub(crate) mod query;
pub(crate) mod status;
pub(crate) mod trace;
