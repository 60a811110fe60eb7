use super::super::documents::VersionedDocument;
use super::*;

fn document(name: &str, version: u64) -> VersionedDocument {
    VersionedDocument { name: name.into(), version, text: "x".into(), editor: "e".into() }
}

fn source() -> DocumentSet {
    let mut source = DocumentSet::default();
    source.apply_list(5, vec![document("a", 2), document("b", 5)]);
    source
}

#[test]
fn a_stale_page_ends_the_transfer_without_changes() {
    let now = Instant::now();
    let mut newer = source();
    newer.apply_list(9, vec![document("b", 9)]);
    let before = newer.digest();
    let mut transfer = Transfer::new(now, MemberTag(1), 0);
    let progress = transfer.receive(now, source().page(0, false), &mut newer);
    assert_eq!(progress, Progress::Done);
    assert_eq!((newer.revision(), newer.digest()), (9, before));
}

#[test]
fn a_repair_adds_missing_documents_and_deletes_none() {
    let now = Instant::now();
    let mut other = DocumentSet::default();
    other.apply_list(5, vec![document("c", 4)]);
    let mut transfer = Transfer::repair(now, MemberTag(1));
    transfer.receive(now, source().page(0, false), &mut other);
    assert!(["a", "b", "c"].iter().all(|name| other.get(name).is_some()));
}

#[test]
fn a_transfer_is_overdue_after_the_page_timeout() {
    let now = Instant::now();
    let transfer = Transfer::new(now, MemberTag(1), 0);
    assert!(!transfer.is_overdue(now));
    assert!(transfer.is_overdue(now + PAGE_TIMEOUT));
}
