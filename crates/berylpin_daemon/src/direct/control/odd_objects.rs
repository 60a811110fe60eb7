//! Log lines about objects of the store that are passed over.

use super::Control;
use berylpin_platform::{Change, ObjectKind, OddObject};
use slog::{info, warn};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of objects that are remembered, so that each is logged once.
const MAX_REMEMBERED: usize = 1024;

/// The maximum number of lines about the objects of one response.
const MAX_LINES: usize = 32;

/// The objects that were logged.
#[derive(Debug, Default)]
pub(super) struct LoggedObjects {
    /// Hashes, the oldest first; at most `MAX_REMEMBERED`.
    hashes: VecDeque<u64>,
}

impl LoggedObjects {
    /// Records that an object is logged; returns false if it was before.
    fn insert(&mut self, kind: ObjectKind, object: &OddObject) -> bool {
        let mut hasher = DefaultHasher::new();
        (kind.name(), &object.name, object.len, object.cause.to_string()).hash(&mut hasher);
        let hash = hasher.finish();
        if self.hashes.contains(&hash) {
            return false;
        }
        if self.hashes.len() >= MAX_REMEMBERED {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash);
        true
    }
}

impl Control {
    /// Logs objects of a response that are passed over; `count` is the number of all of them.
    pub(super) fn log_odd_objects<'a, I>(&self, kind: ObjectKind, objects: I, count: usize)
    where
        I: IntoIterator<Item = &'a OddObject>,
    {
        let mut described = 0;
        for object in objects.into_iter().take(MAX_LINES) {
            self.log_odd_object(kind, object);
            described += 1;
        }
        if count > described {
            info!(self.shared.log, "control: further entries ignored"; "kind" => kind.name(),
                "count" => count - described);
        }
    }

    pub(super) fn log_odd_changes<T>(&self, kind: ObjectKind, changes: &[Change<T>]) {
        let odd = || {
            changes.iter().filter_map(|change| match change {
                Change::Odd(object) => Some(object),
                Change::Put(_) | Change::Removed(_) => None,
            })
        };
        self.log_odd_objects(kind, odd(), odd().count());
    }

    /// Logs an object that is passed over, unless it was logged before.
    pub(super) fn log_odd_object(&self, kind: ObjectKind, object: &OddObject) {
        if self.logged_objects.borrow_mut().insert(kind, object) {
            warn!(self.shared.log, "control: entry ignored"; "kind" => kind.name(),
                "entry" => object.name.as_deref().unwrap_or("(unreadable)"),
                "bytes" => object.len, "cause" => %object.cause);
        }
    }
}

#[cfg(test)]
mod tests;
