use super::*;
use crate::ids::Key;

fn report(index: usize) -> MemberReport {
    MemberReport {
        name: format!("entry-{index}").into(),
        data_centre: "dc".into(),
        peer_address: ([10, 0, 0, 1], 7001).into(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

#[test]
fn the_id_of_an_evicted_daemon_is_reused_only_after_the_delay() {
    let now = Instant::now();
    let (mut directory, own) = Directory::new(&report(0));
    let first = directory.update(now, [&report(0), &report(1)]);
    assert_eq!((own.index(), first.len()), (0, 2));
    let after_removal = directory.update(now, [&report(0), &report(2)]);
    assert_eq!(after_removal.len(), 3);
    assert!(!after_removal[MemberId::from_index(1)].live);
    let later = directory.update(now + ID_REUSE_DELAY, [&report(0), &report(2), &report(3)]);
    assert_eq!(later.len(), 3);
    assert_eq!(later[MemberId::from_index(1)].name, "entry-3");
}

#[test]
fn a_daemon_that_returns_before_its_id_is_reused_keeps_it() {
    let now = Instant::now();
    let (mut directory, _) = Directory::new(&report(0));
    directory.update(now, [&report(0), &report(1)]);
    directory.update(now, [&report(0)]);
    directory.update(now, [&report(0), &report(1)]);
    let later = directory.update(now + ID_REUSE_DELAY, [&report(0), &report(1), &report(2)]);
    assert_eq!(later[MemberId::from_index(1)].name, "entry-1");
    assert_eq!(later.len(), 3);
}
