use super::*;
use crate::direct::testing::{catalogue, configuration, daemon, entry};
use proptest::prelude::*;

fn empty() -> Catalogue {
    Catalogue::new("palermo-9".to_owned(), "palermo".to_owned(), Vec::new())
}

/// Returns all that a catalogue would tell a daemon that knows nothing.
fn everything(catalogue: &Catalogue) -> News {
    let mut news = catalogue.news_since(Progress::default());
    news.replicas.iter_mut().for_each(|(_, entries)| entries.sort_by(|a, b| a.id.cmp(&b.id)));
    news
}

#[test]
fn a_daemon_that_knows_nothing_is_told_everything() {
    let now = Instant::now();
    let known = catalogue("palermo-1", "palermo", 3, now);
    let mut fresh = empty();
    assert!(fresh.take_news(known.news_since(fresh.progress()), now));
    assert_eq!(everything(&fresh), everything(&known));
    assert_eq!(fresh.view().unwrap().version, 1);
    assert_eq!(known.news_since(fresh.progress()), News::default());
}

#[test]
fn what_is_older_is_not_taken() {
    let now = Instant::now();
    let old = catalogue("palermo-1", "palermo", 3, now);
    let mut newer = catalogue("palermo-2", "palermo", 3, now);
    newer.configure(configuration(4, 2));
    newer.list(vec![entry("x", "shard-0", "palermo")], 7, now);
    let before = everything(&newer);
    assert!(!newer.take_news(everything(&old), now));
    assert_eq!(everything(&newer), before);
}

#[test]
fn an_entry_that_may_only_have_lapsed_is_not_told() {
    let now = Instant::now();
    let mut known = catalogue("palermo-1", "palermo", 3, now);
    known.remove("palermo-0", now);
    let (_, entries) = everything(&known).replicas.unwrap();
    assert!(entries.iter().all(|entry| entry.id != "palermo-0"));
}

/// What happens in the store.
#[derive(Clone, Debug)]
enum Change {
    Configuration,
    Replica(usize),
    ReplicaGone(usize),
    Daemon(usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Configuration),
        (0usize..6).prop_map(Change::Replica),
        (0usize..6).prop_map(Change::ReplicaGone),
        (0usize..4).prop_map(Change::Daemon),
    ]
}

fn apply(catalogue: &mut Catalogue, change: &Change, revision: u64, now: Instant) {
    match change {
        Change::Configuration => {
            catalogue.configure(configuration(revision, 2));
        }
        Change::Replica(index) => {
            let mut entry = entry(&format!("r{index}"), "shard-0", "palermo");
            entry.started_ms = revision;
            catalogue.put(entry);
            catalogue.advance(revision);
        }
        Change::ReplicaGone(index) => {
            catalogue.remove(&format!("r{index}"), now);
            catalogue.advance(revision);
        }
        Change::Daemon(index) => {
            let entry = DaemonEntry { revision, ..daemon(&format!("d{index}"), "palermo") };
            catalogue.put_daemon(entry, now);
            catalogue.advance_daemons(revision);
        }
    }
}

proptest! {
    #[test]
    fn daemons_that_talk_agree_on_the_newest(
        changes in proptest::collection::vec((change(), any::<bool>()), 1..40),
    ) {
        let now = Instant::now();
        let mut reaching = catalogue("palermo-1", "palermo", 2, now);
        let mut cut = catalogue("palermo-2", "palermo", 2, now);
        for (step, (change, talk)) in changes.iter().enumerate() {
            apply(&mut reaching, change, step as u64 + 2, now);
            if *talk {
                let back = cut.news_since(reaching.progress());
                cut.take_news(reaching.news_since(cut.progress()), now);
                prop_assert!(!reaching.take_news(back, now), "older news was taken");
                prop_assert_eq!(everything(&cut), everything(&reaching));
            }
        }
    }
}
