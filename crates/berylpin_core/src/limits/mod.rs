//! Load limits: admission of queries, the budget for hedges and retries, shards of queries in
//! progress.

mod admission;
mod budget;
mod concurrency;

pub(crate) use admission::{CoverageTally, HINT_TTL, effective_shed_level};
pub use budget::Budget;
pub use concurrency::ConcurrencyLimit;
