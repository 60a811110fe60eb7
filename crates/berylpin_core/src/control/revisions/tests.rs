use super::super::message::ControlBody;
use super::super::transfer::{Progress, Transfer};
use super::*;
use crate::ids::MemberTag;
use proptest::prelude::*;
use std::time::Instant;

fn entry(name: &str, version: u64, text: &str) -> Entry {
    Entry { name: name.into(), version, text: text.into(), editor: "ayşe".into() }
}

/// What a store held at each revision, index 0 being empty.
fn history(changes: &[(usize, bool)]) -> Vec<Vec<Entry>> {
    let mut lists = vec![Vec::new()];
    for (number, (name, delete)) in changes.iter().enumerate() {
        let version = number as u64 + 1;
        let mut list: Vec<Entry> = lists[number].clone();
        let name = format!("s{name}");
        list.retain(|entry| *entry.name != name);
        if !delete {
            list.push(entry(&name, version, "x"));
        }
        lists.push(list);
    }
    lists
}

fn documents(revisions: &Revisions) -> Vec<(Arc<str>, u64)> {
    revisions.entries().map(|entry| (entry.name.clone(), entry.version)).collect()
}

/// Copies what one holds to another, through pieces.
fn copy(from: &Revisions, to: &mut Revisions) {
    let now = Instant::now();
    let mut transfer = Transfer::new(now, MemberTag(1), to.revision());
    loop {
        let ControlBody::Fetch { cursor, with_names } = transfer.request() else { unreachable!() };
        if transfer.receive(now, from.piece(cursor, with_names), to) == Progress::Ended {
            return;
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A daemon reads the list of a revision, which may be stale.
    Read(usize, usize),
    /// A daemon fetches from another one.
    Fetch(usize, usize),
}

const DAEMONS: usize = 3;

fn step(revisions: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..DAEMONS, 0..=revisions).prop_map(|(daemon, revision)| Step::Read(daemon, revision)),
        (0..DAEMONS, 0..DAEMONS).prop_map(|(from, to)| Step::Fetch(from, to)),
    ]
}

proptest! {
    /// Any order, repetition and staleness of lists and fetches ends at the newest and never goes
    /// back.
    #[test]
    fn daemons_agree_on_the_newest_and_never_go_back(
        changes in prop::collection::vec((0_usize..5, any::<bool>()), 1..30),
        steps in prop::collection::vec(step(30), 0..60),
    ) {
        let lists = history(&changes);
        let newest = lists.len() - 1;
        let mut daemons = vec![Revisions::default(); DAEMONS];
        for step in steps {
            let before = daemons.clone();
            match step {
                Step::Read(daemon, revision) => {
                    let revision = revision.min(newest);
                    daemons[daemon].install_list(revision as u64, lists[revision].clone());
                }
                Step::Fetch(from, to) if from != to => copy(&before[from], &mut daemons[to]),
                Step::Fetch(..) => {}
            }
            for (old, new) in before.iter().zip(&daemons) {
                prop_assert!(new.revision() >= old.revision());
                for (name, version) in documents(old) {
                    let now = documents(new).into_iter().find(|(other, _)| *other == name);
                    let newer = now.map_or(new.revision() > version, |(_, now)| now >= version);
                    prop_assert!(newer, "{name} fell below {version}");
                }
                // What is known in full is what the store held then.
                let mut expected: Vec<_> = lists[new.revision() as usize]
                    .iter().map(|entry| (entry.name.clone(), entry.version)).collect();
                expected.sort_unstable();
                prop_assert_eq!(documents(new), expected);
            }
        }
        daemons[0].install_list(newest as u64, lists[newest].clone());
        let source = daemons[0].clone();
        for daemon in &mut daemons[1..] {
            copy(&source, daemon);
            prop_assert_eq!(documents(daemon), documents(&source));
            prop_assert_eq!(daemon.digest(), source.digest());
        }
    }
}

#[test]
fn a_stale_list_changes_nothing() {
    let mut revisions = Revisions::default();
    assert!(revisions.install_list(7, vec![entry("a", 7, "new")]));
    assert!(!revisions.install_list(5, vec![entry("a", 3, "old")]));
    assert_eq!(&*revisions.document("a").unwrap().text, "new");
}

#[test]
fn a_deletion_that_the_sender_never_saw_reaches_others() {
    let mut late = Revisions::default();
    late.install_list(3, vec![entry("a", 1, "x"), entry("b", 3, "y")]);
    let mut source = Revisions::default();
    source.install_list(4, vec![entry("b", 3, "y")]);
    copy(&source, &mut late);
    assert_eq!(documents(&late), [("b".into(), 3)]);
    assert_eq!(late.revision(), 4);
}

#[test]
fn a_piece_is_bounded_but_for_one_large_document() {
    let mut revisions = Revisions::default();
    let text = "x".repeat(PIECE_SIZE / 2 + 1);
    for version in 1..=4 {
        revisions.merge(entry(&format!("s{version}"), version, &text));
    }
    revisions.complete(4);
    let piece = revisions.piece(0, false);
    assert_eq!(piece.entries.len(), 1);
    assert!(!piece.last);
    let mut other = Revisions::default();
    copy(&revisions, &mut other);
    assert_eq!((other.revision(), other.digest()), (4, revisions.digest()));
}
