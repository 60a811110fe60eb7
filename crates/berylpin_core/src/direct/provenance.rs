//! The part of a response of the store that is certainly the store's own.
//!
//! The store returns the objects of all writers as they were written, so the text of one object can
//! imitate the end of the object and the start of another one. Nothing within a response shows that.
//! But a response begins with the store's own words, and a response that starts behind an object
//! does not hold its text. So a response is read up to the first text that may imitate others, and
//! if what follows matters, the store is called again for what comes after that text.

/// What an event of a watch shows before it is applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventTraits {
    /// Whether the event holds what the replicas or daemons in use write about themselves. Any other
    /// text may imitate the events that follow it.
    pub trusted: bool,
    /// Whether the event changes what this daemon uses.
    pub effective: bool,
    /// Whether the event changes the service, the place or the start of a known replica, which a
    /// process cannot change while it runs. Only the first event of a response shows that for certain.
    pub changes_identity: bool,
}

/// The part of a watch's response that is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CertainEvents {
    /// All events, or all that matter.
    All,
    /// A number of leading events; what follows the revision must be called for again.
    Leading {
        /// At least 1.
        count: usize,
        /// The revision of the last of them, above that of the watch.
        revision: u64,
    },
    /// Not even the first event; the objects must be listed.
    None,
}

/// Returns the certain part of a watch from the revision `since` that is complete up to `complete_to`.
///
/// Each event has the revision of its change, if it can be read: it is above that of the event before
/// it, and at most `complete_to`.
pub fn certain_events(
    since: u64,
    complete_to: u64,
    events: &[(Option<u64>, EventTraits)],
) -> CertainEvents {
    let mut newest = since;
    let mut count = 0;
    // Whether the text of an event before may imitate this one.
    let mut in_doubt = false;
    for (index, (revision, traits)) in events.iter().enumerate() {
        let plausible = revision.filter(|revision| newest < *revision && *revision <= complete_to);
        let needs_proof = traits.changes_identity && index > 0;
        match plausible.filter(|_| !in_doubt && !needs_proof) {
            Some(revision) => {
                newest = revision;
                count = index + 1;
                in_doubt = !traits.trusted;
            }
            None if !traits.effective => in_doubt = true,
            None if count == 0 => return CertainEvents::None,
            None => return CertainEvents::Leading { count, revision: newest },
        }
    }
    CertainEvents::All
}

/// Returns the number of leading objects of a page that are read; those that follow must be listed
/// again, from the last one on.
///
/// `usable` says of each object whether it is one that its kind has. Any other text may imitate the
/// objects that follow it.
pub fn certain_objects(usable: &[bool]) -> usize {
    let odd = usable.iter().position(|usable| !usable);
    match odd {
        Some(odd) if usable[odd..].contains(&true) => odd + 1,
        _ => usable.len(),
    }
}

/// An object in a list of several pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedObject<'a> {
    /// The name, which the store lists once.
    pub name: &'a str,
    /// The revision of the object's last change.
    pub revision: u64,
    /// A hash of the content.
    pub content: u64,
}

/// Returns the names that a list holds with more than one content, sorted: one of them may be an
/// imitation, or the object changed between two pages.
pub fn contested_names<'a>(objects: &[ListedObject<'a>]) -> Vec<&'a str> {
    let mut sorted = objects.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    let pairs = sorted.windows(2).filter(|pair| pair[0].name == pair[1].name);
    let mut names: Vec<_> = pairs.map(|pair| pair[0].name).collect();
    names.dedup();
    names
}

#[cfg(test)]
mod tests;
