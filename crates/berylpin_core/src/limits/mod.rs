//! Limits of load: admission of whole queries, budgets for extra attempts, queries at once.

mod admission;
mod budget;
mod concurrency;

pub(crate) use admission::{CoverageEstimate, HINT_TTL, effective_shed_level};
pub use budget::Budget;
pub use concurrency::ConcurrencyLimit;
