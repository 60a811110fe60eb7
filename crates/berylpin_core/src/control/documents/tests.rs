use super::super::message::ControlBody;
use super::super::transfer::{Progress, Transfer};
use super::*;
use crate::ids::MemberTag;
use proptest::prelude::*;
use std::time::Instant;

fn document(name: &str, version: u64, text: &str) -> VersionedDocument {
    VersionedDocument { name: name.into(), version, text: text.into(), editor: "ayşe".into() }
}

/// Returns the documents of a store at each revision; revision 0 is empty.
fn history(changes: &[(usize, bool)]) -> Vec<Vec<VersionedDocument>> {
    let mut lists = vec![Vec::new()];
    for (number, (name, delete)) in changes.iter().enumerate() {
        let version = number as u64 + 1;
        let mut list: Vec<VersionedDocument> = lists[number].clone();
        let name = format!("s{name}");
        list.retain(|document| *document.name != name);
        if !delete {
            list.push(document(&name, version, "x"));
        }
        lists.push(list);
    }
    lists
}

fn versions(documents: &DocumentSet) -> Vec<(Arc<str>, u64)> {
    documents.iter().map(|document| (document.name.clone(), document.version)).collect()
}

/// Transfers documents from one set to another, page by page.
fn fetch_all(from: &DocumentSet, to: &mut DocumentSet) {
    let now = Instant::now();
    let mut transfer = Transfer::new(now, MemberTag(1), to.revision());
    loop {
        let ControlBody::FetchDocuments { cursor, with_names } = transfer.request() else {
            unreachable!()
        };
        if transfer.receive(now, from.page(cursor, with_names), to) == Progress::Done {
            return;
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A daemon applies the list of a revision, which may be stale.
    Read(usize, usize),
    /// A daemon fetches documents from another one.
    Fetch(usize, usize),
}

const DAEMONS: usize = 3;

fn step(newest: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..DAEMONS, 0..=newest).prop_map(|(daemon, revision)| Step::Read(daemon, revision)),
        (0..DAEMONS, 0..DAEMONS).prop_map(|(from, to)| Step::Fetch(from, to)),
    ]
}

proptest! {
    /// In any order of lists and fetches, stale and repeated ones included, no daemon returns to an
    /// older version, and all daemons reach the newest revision.
    #[test]
    fn daemons_converge_on_the_newest_revision_and_versions_never_decrease(
        changes in prop::collection::vec((0_usize..5, any::<bool>()), 1..30),
        steps in prop::collection::vec(step(30), 0..60),
    ) {
        let lists = history(&changes);
        let newest = lists.len() - 1;
        let mut daemons = vec![DocumentSet::default(); DAEMONS];
        for step in steps {
            let before = daemons.clone();
            match step {
                Step::Read(daemon, revision) => {
                    let revision = revision.min(newest);
                    daemons[daemon].apply_list(revision as u64, lists[revision].clone());
                }
                Step::Fetch(from, to) if from != to => fetch_all(&before[from], &mut daemons[to]),
                Step::Fetch(..) => {}
            }
            for (old, new) in before.iter().zip(&daemons) {
                prop_assert!(new.revision() >= old.revision());
                for (name, version) in versions(old) {
                    let found = versions(new).into_iter().find(|(other, _)| *other == name);
                    let kept =
                        found.map_or(new.revision() > version, |(_, found)| found >= version);
                    prop_assert!(kept, "{name} decreased below version {version}");
                }
                // A daemon holds exactly the documents of the store at its revision.
                let mut expected: Vec<_> = lists[new.revision() as usize]
                    .iter().map(|document| (document.name.clone(), document.version)).collect();
                expected.sort_unstable();
                prop_assert_eq!(versions(new), expected);
            }
        }
        daemons[0].apply_list(newest as u64, lists[newest].clone());
        let source = daemons[0].clone();
        for daemon in &mut daemons[1..] {
            fetch_all(&source, daemon);
            prop_assert_eq!(versions(daemon), versions(&source));
            prop_assert_eq!(daemon.digest(), source.digest());
        }
    }
}

#[test]
fn a_stale_list_is_discarded() {
    let mut documents = DocumentSet::default();
    assert!(documents.apply_list(7, vec![document("a", 7, "new")]));
    assert!(!documents.apply_list(5, vec![document("a", 3, "old")]));
    assert_eq!(&*documents.get("a").unwrap().text, "new");
}

#[test]
fn a_deletion_before_the_first_list_of_the_sender_reaches_its_peers() {
    let mut late = DocumentSet::default();
    late.apply_list(3, vec![document("a", 1, "x"), document("b", 3, "y")]);
    let mut source = DocumentSet::default();
    source.apply_list(4, vec![document("b", 3, "y")]);
    fetch_all(&source, &mut late);
    assert_eq!(versions(&late), [("b".into(), 3)]);
    assert_eq!(late.revision(), 4);
}

#[test]
fn a_page_is_bounded_in_bytes() {
    let mut documents = DocumentSet::default();
    let text = "x".repeat(MAX_PAGE_BYTES / 2 + 1);
    for version in 1..=4 {
        documents.merge(document(&format!("s{version}"), version, &text));
    }
    documents.mark_complete(4);
    let page = documents.page(0, false);
    assert_eq!(page.documents.len(), 1);
    assert!(!page.last);
    let mut other = DocumentSet::default();
    fetch_all(&documents, &mut other);
    assert_eq!((other.revision(), other.digest()), (4, documents.digest()));
}
