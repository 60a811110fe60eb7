use super::*;
use proptest::prelude::*;

/// A fault injected into one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The call is not sent.
    NotSent,
    /// The call fails without effect.
    Failed,
    /// The call takes effect, but its reply is lost.
    ReplyLost,
    /// The call takes effect only after the next one.
    Delayed,
    /// Another editor changes the document just before the call.
    OtherEdit,
    /// Another editor deletes the document just before the call.
    OtherDelete,
}

/// A store with one document and its edits; edit 0 created the base, edit 1 is under test.
#[derive(Clone, Debug, Default)]
struct Store {
    revision: u64,
    document: Option<(u64, Vec<u32>)>,
    /// Whether a write of the edit under test ever took effect.
    was_stored: bool,
    /// Number of changes by another editor.
    other_edits: u32,
}

impl Store {
    fn write(&mut self, kind: EditKind, base: Option<u64>) -> EditEvent {
        if self.document.as_ref().map(|(version, _)| *version) != base {
            return EditEvent::VersionMismatch;
        }
        self.revision += 1;
        self.was_stored = true;
        self.document = match kind {
            EditKind::Put => {
                let mut edits = self.document.take().map_or(Vec::new(), |(_, edits)| edits);
                edits.push(1);
                Some((self.revision, edits))
            }
            EditKind::Delete => None,
        };
        EditEvent::Stored(self.revision)
    }

    fn concurrent_edit(&mut self) {
        self.revision += 1;
        self.other_edits += 1;
        let mut edits = self.document.take().map_or(Vec::new(), |(_, edits)| edits);
        edits.push(100 + self.other_edits);
        self.document = Some((self.revision, edits));
    }

    fn read(&self) -> EditEvent {
        let document = self.document.as_ref().map(|(version, edits)| FoundDocument {
            version: *version,
            edit_version: edits.contains(&1).then_some(*version),
            descends_from_base: edits.contains(&0),
        });
        EditEvent::Read { revision: self.revision, document }
    }
}

fn run(kind: EditKind, exists: bool, faults: &[Fault]) -> (Store, EditOutcome) {
    let mut store = Store { revision: 5, ..Store::default() };
    store.document = exists.then(|| (5, vec![0]));
    let base = exists.then_some(5);
    let mut edit = Edit::new(kind, base);
    let mut faults = faults.iter().copied();
    let mut delayed = false;
    let mut event = EditEvent::Start;
    loop {
        let step = edit.next(event);
        if let EditStep::Done(outcome) = step {
            if delayed {
                store.write(kind, base);
            }
            return (store, outcome);
        }
        let fault = faults.next().unwrap_or(Fault::None);
        match fault {
            Fault::OtherEdit => store.concurrent_edit(),
            Fault::OtherDelete if store.document.is_some() => {
                store.revision += 1;
                store.document = None;
            }
            _ => {}
        }
        let write_due = std::mem::take(&mut delayed);
        event = match (step, fault) {
            (EditStep::Read, Fault::NotSent | Fault::Failed) => EditEvent::ReadFailed,
            (EditStep::Read, _) => store.read(),
            (_, Fault::NotSent) => EditEvent::NotSent,
            (_, Fault::Failed) => EditEvent::ReplyLost,
            (_, Fault::ReplyLost) => {
                store.write(kind, base);
                EditEvent::ReplyLost
            }
            (_, Fault::Delayed) => {
                delayed = true;
                EditEvent::ReplyLost
            }
            (_, Fault::None | Fault::OtherEdit | Fault::OtherDelete) => store.write(kind, base),
        };
        if write_due {
            store.write(kind, base);
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::None),
        Just(Fault::NotSent),
        Just(Fault::Failed),
        Just(Fault::ReplyLost),
        Just(Fault::Delayed),
        Just(Fault::OtherEdit),
        Just(Fault::OtherDelete),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    /// An accepted edit took effect, or it was a deletion and another editor deleted the document;
    /// an edit that is reported as not stored never took effect. Calls fail, replies are lost,
    /// writes are delayed, and other editors change or delete the document.
    #[test]
    fn the_reported_outcome_matches_the_store_under_faults(
        delete: bool,
        exists: bool,
        faults in prop::collection::vec(fault(), 0..12),
    ) {
        let kind = if delete { EditKind::Delete } else { EditKind::Put };
        let exists = exists || delete;
        let deleted_by_other = faults.iter().any(|fault| matches!(fault, Fault::OtherDelete));
        let (store, outcome) = run(kind, exists, &faults);
        match outcome {
            EditOutcome::Accepted { .. } => {
                prop_assert!(store.was_stored || delete && deleted_by_other);
            }
            EditOutcome::Conflict
            | EditOutcome::Missing
            | EditOutcome::NotStored { may_be_stored: false } => prop_assert!(!store.was_stored),
            EditOutcome::NotStored { may_be_stored: true } => {}
        }
    }
}

#[test]
fn a_write_whose_reply_is_lost_is_confirmed_by_a_read() {
    let (_, outcome) = run(EditKind::Put, true, &[Fault::None, Fault::ReplyLost]);
    assert_eq!(outcome, EditOutcome::Accepted { version: 6 });
}

#[test]
fn a_write_without_effect_is_retried() {
    let (store, outcome) = run(EditKind::Put, false, &[Fault::None, Fault::Failed]);
    assert_eq!(outcome, EditOutcome::Accepted { version: 6 });
    assert!(store.was_stored);
}

#[test]
fn an_edit_is_not_stored_if_all_calls_fail() {
    let faults = [Fault::Failed; 8];
    let (_, outcome) = run(EditKind::Put, true, &faults);
    assert_eq!(outcome, EditOutcome::NotStored { may_be_stored: false });
}

#[test]
fn an_edit_by_another_editor_before_the_write_is_a_conflict() {
    let (_, outcome) = run(EditKind::Put, true, &[Fault::None, Fault::OtherEdit]);
    assert_eq!(outcome, EditOutcome::Conflict);
}
