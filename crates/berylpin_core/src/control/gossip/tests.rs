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
fn batches_are_bounded_in_bytes_and_each_report_is_sent_equally_often() {
    let reports: Vec<MemberReport> = (0..100).map(report).collect();
    let mut gossip = Gossip::default();
    for report in &reports {
        gossip.enqueue(report.tag());
    }
    let find = |tag| reports.iter().find(|report| report.tag() == tag);
    let mut sent: Vec<MemberReport> = Vec::new();
    while gossip.len() > 0 {
        let limit = if gossip.len() > BACKLOG_THRESHOLD {
            MAX_REPORTS_BYTES_IN_BACKLOG
        } else {
            MAX_REPORTS_BYTES
        };
        let batch = gossip.next_batch(100, find);
        assert!(!batch.is_empty());
        assert!(batch.iter().map(MemberReport::max_encoded_size).sum::<usize>() <= limit);
        sent.extend(batch);
    }
    for report in &reports {
        let count = sent.iter().filter(|other| *other == report).count();
        assert_eq!(count as u32, SENDS_PER_DIGIT * 2);
    }
}

#[test]
fn the_report_of_an_evicted_member_is_discarded() {
    let mut gossip = Gossip::default();
    gossip.enqueue(MemberTag(1));
    assert!(gossip.next_batch(10, |_| None).is_empty());
    assert_eq!(gossip.len(), 0);
}
