use super::*;
use proptest::prelude::*;

fn report(index: usize, incarnation: u64, state: MemberState) -> MemberReport {
    MemberReport {
        name: format!("entry-{index}").into(),
        data_centre: "dc".into(),
        peer_address: ([10, 0, 0, index as u8], 7001).into(),
        incarnation,
        state,
    }
}

fn tag(index: usize) -> MemberTag {
    report(index, 0, MemberState::Alive).tag()
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ]
}

fn membership() -> Membership {
    Membership::new(report(0, 1, MemberState::Alive))
}

proptest! {
    /// In any order of reports, an older incarnation never supersedes a newer one, and a daemon
    /// refutes a worse report about itself with a higher incarnation.
    #[test]
    fn incarnations_never_decrease_and_the_digest_matches_the_reports(
        reports in prop::collection::vec((0_usize..4, 1_u64..4, state()), 0..40),
    ) {
        let now = Instant::now();
        let mut membership = membership();
        for (index, incarnation, state) in reports {
            let before: Vec<_> =
                membership.peers().map(|peer| (peer.tag, peer.report.incarnation)).collect();
            let incoming = report(index, incarnation, state);
            membership.merge(now, None, &incoming, &mut Vec::new());
            for (tag, incarnation) in before {
                prop_assert!(membership.peer(tag).unwrap().report.incarnation >= incarnation);
            }
            prop_assert!(!incoming.supersedes(membership.own()) || index != 0);
            let expected = membership
                .reports().iter().map(hash).fold(0, u64::wrapping_add);
            prop_assert_eq!(membership.digest(), expected);
        }
    }
}

#[test]
fn a_suspect_daemon_is_dead_after_the_timeout_without_a_refutation() {
    let now = Instant::now();
    let mut membership = membership();
    membership.merge(now, None, &report(1, 1, MemberState::Alive), &mut Vec::new());
    membership.suspect(now, tag(1), &mut Vec::new());
    assert_eq!(membership.peer(tag(1)).unwrap().report.state, MemberState::Suspect);
    let end = membership.next_timer().unwrap();
    membership.tick(now, &mut Vec::new());
    assert_eq!(membership.peer(tag(1)).unwrap().report.state, MemberState::Suspect);
    membership.tick(end, &mut Vec::new());
    assert_eq!(membership.peer(tag(1)).unwrap().report.state, MemberState::Dead);
}

#[test]
fn confirmations_by_peers_shorten_a_suspicion() {
    let now = Instant::now();
    let mut membership = membership();
    membership.merge(now, None, &report(1, 1, MemberState::Alive), &mut Vec::new());
    membership.suspect(now, tag(1), &mut Vec::new());
    let unconfirmed = membership.next_timer().unwrap();
    for other in [2, 2, 3] {
        let suspect = report(1, 1, MemberState::Suspect);
        membership.merge(now, Some(tag(other)), &suspect, &mut Vec::new());
    }
    assert!(membership.next_timer().unwrap() < unconfirmed);
}

#[test]
fn a_dead_report_of_an_alive_daemon_makes_it_suspect() {
    let now = Instant::now();
    let mut membership = membership();
    membership.merge(now, None, &report(1, 1, MemberState::Alive), &mut Vec::new());
    membership.merge(now, Some(tag(2)), &report(1, 1, MemberState::Dead), &mut Vec::new());
    assert_eq!(membership.peer(tag(1)).unwrap().report.state, MemberState::Suspect);
}

#[test]
fn a_dead_daemon_is_evicted_and_not_restored_by_dead_reports() {
    let now = Instant::now();
    let mut membership = membership();
    membership.merge(now, None, &report(1, 1, MemberState::Alive), &mut Vec::new());
    membership.suspect(now, tag(1), &mut Vec::new());
    membership.tick(now + Duration::from_mins(1), &mut Vec::new());
    membership.tick(now + DEAD_RETENTION + Duration::from_mins(2), &mut Vec::new());
    assert!(membership.peer(tag(1)).is_none());
    // A peer that still retains the daemon does not restore it.
    membership.merge(now, Some(tag(2)), &report(1, 1, MemberState::Dead), &mut Vec::new());
    assert!(membership.peer(tag(1)).is_none());
}

#[test]
fn a_vm_list_does_not_return_a_stopping_daemon_to_placement() {
    let mut membership = membership();
    membership.mark_leaving(Instant::now(), tag(0), &mut Vec::new());
    assert_eq!(membership.own().state, MemberState::Leaving);
    membership.cancel_leave(&mut Vec::new());
    assert_eq!(membership.own().state, MemberState::Alive);
    membership.leave(true, &mut Vec::new());
    membership.cancel_leave(&mut Vec::new());
    assert_eq!(membership.own().state, MemberState::Leaving);
}

#[test]
fn the_number_of_known_peers_is_bounded() {
    let now = Instant::now();
    let mut membership = membership();
    for index in 0..MAX_PEERS + 10 {
        let name = format!("other-{index}").into();
        let incoming = MemberReport { name, ..report(1, 1, MemberState::Alive) };
        membership.merge(now, None, &incoming, &mut Vec::new());
    }
    assert_eq!(membership.peers().count(), MAX_PEERS);
}
