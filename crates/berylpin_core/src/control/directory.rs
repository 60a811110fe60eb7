//! Process-local ids of the known daemons.

use super::member::{MemberReport, MemberState};
use super::view::Member;
use crate::arena::Arena;
use crate::ids::{MemberId, MemberTag};
use std::time::{Duration, Instant};

/// How long the id of an evicted daemon stays unused; longer than any request takes.
const ID_REUSE_DELAY: Duration = Duration::from_mins(10);

/// Assigns an id to each known daemon; ids of evicted daemons are reused after [`ID_REUSE_DELAY`].
#[derive(Debug)]
pub(super) struct Directory {
    /// Never shrinks; bounded by the number of daemons that were known within one
    /// `ID_REUSE_DELAY`.
    members: Arena<MemberId, Member>,
    /// Sorted by tag; holds evicted daemons until their ids are reused.
    by_tag: Vec<(MemberTag, MemberId)>,
    /// Ids of evicted daemons with the time of eviction, in ascending order of time.
    evicted: Vec<(Instant, MemberId)>,
}

impl Directory {
    /// Creates a directory that holds only this daemon.
    pub(super) fn new(own: &MemberReport) -> (Self, MemberId) {
        let mut members = Arena::default();
        let id = members.push(member_from(own));
        let by_tag = vec![(own.tag(), id)];
        (Self { members, by_tag, evicted: Vec::new() }, id)
    }

    /// Replaces the known daemons by those of `reports` and returns a copy of all members.
    pub(super) fn update<'a, I>(&mut self, now: Instant, reports: I) -> Arena<MemberId, Member>
    where
        I: IntoIterator<Item = &'a MemberReport>,
    {
        let mut seen: Vec<MemberId> =
            reports.into_iter().map(|report| self.upsert(now, report)).collect();
        seen.sort_unstable();
        for (id, member) in self.members.iter_mut() {
            let was_evicted = self.evicted.iter().any(|(_, evicted)| *evicted == id);
            if seen.binary_search(&id).is_err() && !was_evicted {
                member.live = false;
                member.leaving = false;
                self.evicted.push((now, id));
            }
        }
        self.members.clone()
    }

    fn upsert(&mut self, now: Instant, report: &MemberReport) -> MemberId {
        let tag = report.tag();
        let id = match self.by_tag.binary_search_by_key(&tag, |(tag, _)| *tag) {
            Ok(index) => {
                let id = self.by_tag[index].1;
                self.evicted.retain(|(_, evicted)| *evicted != id);
                id
            }
            Err(_) => self.allocate_id(now, report),
        };
        self.members[id] = member_from(report);
        id
    }

    fn allocate_id(&mut self, now: Instant, report: &MemberReport) -> MemberId {
        let reusable =
            self.evicted.first().filter(|(evicted_at, _)| now >= *evicted_at + ID_REUSE_DELAY);
        let id = match reusable {
            Some(&(_, id)) => {
                self.evicted.remove(0);
                self.by_tag.retain(|(_, other)| *other != id);
                id
            }
            None => self.members.push(member_from(report)),
        };
        let tag = report.tag();
        let index = self.by_tag.partition_point(|(other, _)| *other < tag);
        self.by_tag.insert(index, (tag, id));
        id
    }
}

fn member_from(report: &MemberReport) -> Member {
    Member {
        tag: report.tag(),
        name: report.name.to_string(),
        data_centre: report.data_centre.to_string(),
        peer_address: report.peer_address,
        live: report.state.is_placeable(),
        leaving: report.state == MemberState::Leaving,
    }
}

#[cfg(test)]
mod tests;
