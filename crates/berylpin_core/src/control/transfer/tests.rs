use super::super::revisions::Entry;
use super::*;

fn entry(name: &str, version: u64) -> Entry {
    Entry { name: name.into(), version, text: "x".into(), editor: "e".into() }
}

fn source() -> Revisions {
    let mut source = Revisions::default();
    source.install_list(5, vec![entry("a", 2), entry("b", 5)]);
    source
}

#[test]
fn a_stale_piece_ends_the_transfer_and_changes_nothing() {
    let now = Instant::now();
    let mut newer = source();
    newer.install_list(9, vec![entry("b", 9)]);
    let before = newer.digest();
    let mut transfer = Transfer::new(now, MemberTag(1), 0);
    let progress = transfer.receive(now, source().piece(0, false), &mut newer);
    assert_eq!(progress, Progress::Ended);
    assert_eq!((newer.revision(), newer.digest()), (9, before));
}

#[test]
fn a_repair_adds_what_is_missing_and_deletes_nothing() {
    let now = Instant::now();
    let mut other = Revisions::default();
    other.install_list(5, vec![entry("c", 4)]);
    let mut transfer = Transfer::repair(now, MemberTag(1));
    transfer.receive(now, source().piece(0, false), &mut other);
    assert!(["a", "b", "c"].iter().all(|name| other.document(name).is_some()));
}

#[test]
fn a_transfer_without_a_piece_becomes_overdue() {
    let now = Instant::now();
    let transfer = Transfer::new(now, MemberTag(1), 0);
    assert!(!transfer.is_overdue(now));
    assert!(transfer.is_overdue(now + PIECE_TIMEOUT));
}
