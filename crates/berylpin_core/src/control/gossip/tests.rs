use super::super::member::MemberState;
use super::*;

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
fn reports_are_bounded_in_bytes_and_each_gets_its_turn() {
    let reports: Vec<MemberReport> = (0..100).map(report).collect();
    let mut gossip = Gossip::default();
    for report in &reports {
        gossip.enqueue(report.tag());
    }
    let find = |tag| reports.iter().find(|report| report.tag() == tag);
    let mut sent: Vec<MemberReport> = Vec::new();
    while gossip.len() > 0 {
        let limit = if gossip.len() > BACKLOG_THRESHOLD {
            BACKLOG_REPORTS_SIZE_LIMIT
        } else {
            REPORTS_SIZE_LIMIT
        };
        let page = gossip.next_batch(100, find);
        assert!(!page.is_empty());
        assert!(page.iter().map(MemberReport::max_encoded_size).sum::<usize>() <= limit);
        sent.extend(page);
    }
    for report in &reports {
        let times = sent.iter().filter(|other| *other == report).count();
        assert_eq!(times as u32, SENDS_PER_DIGIT * 2);
    }
}

#[test]
fn the_report_of_a_forgotten_member_is_dropped() {
    let mut gossip = Gossip::default();
    gossip.enqueue(MemberTag(1));
    assert!(gossip.next_batch(10, |_| None).is_empty());
    assert_eq!(gossip.len(), 0);
}
