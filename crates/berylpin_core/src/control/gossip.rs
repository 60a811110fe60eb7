//! Dissemination of member reports, which are piggybacked on other messages.

use super::member::MemberReport;
use crate::ids::MemberTag;

/// Maximum size of the reports in one message, in bytes.
const MAX_REPORTS_BYTES: usize = 600;

/// Maximum size with more than [`BACKLOG_THRESHOLD`] pending reports, in bytes.
const MAX_REPORTS_BYTES_IN_BACKLOG: usize = 8 * 1024;

/// Number of pending reports above which messages may be larger.
const BACKLOG_THRESHOLD: usize = 32;

/// Number of sends of each report, per power of ten in the number of members.
const SENDS_PER_DIGIT: u32 = 4;

/// Reports to be piggybacked; at most one per member.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// Sorted by tag.
    pending: Vec<Pending>,
}

#[derive(Debug)]
struct Pending {
    tag: MemberTag,
    send_count: u32,
}

impl Gossip {
    /// Enqueues the newest report of a member and resets its number of sends.
    pub(super) fn enqueue(&mut self, tag: MemberTag) {
        match self.pending.binary_search_by_key(&tag, |pending| pending.tag) {
            Ok(index) => self.pending[index].send_count = 0,
            Err(index) => self.pending.insert(index, Pending { tag, send_count: 0 }),
        }
    }

    /// Returns the reports for one message, least sent first; `report` looks up a member.
    pub(super) fn next_batch<'a, F>(&mut self, members: usize, report: F) -> Vec<MemberReport>
    where
        F: Fn(MemberTag) -> Option<&'a MemberReport>,
    {
        if self.pending.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<usize> = (0..self.pending.len()).collect();
        order.sort_by_key(|index| self.pending[*index].send_count);
        let backlog = self.pending.len() > BACKLOG_THRESHOLD;
        let limit = if backlog { MAX_REPORTS_BYTES_IN_BACKLOG } else { MAX_REPORTS_BYTES };
        let mut reports = Vec::new();
        let mut size = 0;
        for index in order {
            let pending = &mut self.pending[index];
            let Some(report) = report(pending.tag) else {
                // The member was evicted; the entry is discarded below.
                pending.send_count = u32::MAX;
                continue;
            };
            size += report.max_encoded_size();
            if size > limit {
                break;
            }
            pending.send_count += 1;
            reports.push(report.clone());
        }
        let max_sends = SENDS_PER_DIGIT * (members as u32 + 1).ilog10().max(1);
        self.pending.retain(|pending| pending.send_count < max_sends);
        reports
    }

    /// Returns how many members have a pending report.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

#[cfg(test)]
mod tests;
