//! Runs scenarios with faults against real daemons and stand-ins, and reports the measurements.

mod canary;
mod faults;
mod plot;
mod report;
mod run;
mod scenario;
mod usage;

pub(crate) use plot::plot;
pub(crate) use report::render_table;
pub(crate) use run::run;
pub(crate) use scenario::Scenario;
