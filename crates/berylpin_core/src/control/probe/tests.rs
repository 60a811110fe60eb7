use super::super::member::MemberReport;
use super::*;
use rand::SeedableRng;

fn report(index: usize) -> MemberReport {
    MemberReport {
        name: format!("entry-{index}").into(),
        data_centre: "dc".into(),
        peer_address: ([10, 0, 0, index as u8], 7001).into(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn membership(peers: usize, now: Instant) -> Membership {
    let mut membership = Membership::new(report(0));
    for index in 1..=peers {
        membership.merge(now, None, &report(index), &mut Vec::new());
    }
    membership
}

#[test]
fn each_peer_is_probed_once_per_round() {
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let membership = membership(8, now);
    let mut prober = Prober::new(now, &mut rng);
    let mut targets = Vec::new();
    while targets.len() < 8 {
        now = prober.next_timer();
        let mut out = Vec::new();
        prober.tick(now, &membership, &mut rng, &mut out);
        for action in out {
            if let ProbeAction::Ping { to, sequence } = action {
                targets.push(to);
                prober.record_ack(sequence, &mut Vec::new());
            }
        }
    }
    targets.sort_unstable();
    targets.dedup();
    assert_eq!(targets.len(), 8);
}

#[test]
fn a_probe_fails_only_after_indirect_probes_time_out() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let membership = membership(3, now);
    let mut prober = Prober::new(now, &mut rng);
    let silent = report(1).tag();
    prober.probe(now, silent, &mut Vec::new());
    let mut out = Vec::new();
    prober.expire(now + DIRECT_TIMEOUT, &membership, &mut rng, &mut out);
    let is_indirect = |action: &ProbeAction| {
        matches!(action, ProbeAction::RequestIndirect { target, via, .. }
            if *target == silent && *via != silent)
    };
    assert_eq!(out.len(), INDIRECT_PROBES);
    assert!(out.iter().all(is_indirect));
    out.clear();
    let end = now + DIRECT_TIMEOUT + INDIRECT_TIMEOUT;
    prober.expire(end, &membership, &mut rng, &mut out);
    assert_eq!(out, [ProbeAction::Failed(silent)]);
}

#[test]
fn probes_and_relays_in_flight_are_bounded() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut prober = Prober::new(now, &mut rng);
    let mut out = Vec::new();
    for tag in 0..1000 {
        prober.probe(now, MemberTag(tag), &mut out);
        prober.start_relay(now, MemberTag(tag), 1, MemberTag(0), &mut out);
    }
    assert_eq!(out.len(), MAX_PROBES + MAX_RELAYS);
}
