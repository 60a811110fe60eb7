use super::*;

fn report(index: usize) -> MemberReport {
    MemberReport {
        name: format!("entry-{index}").into(),
        data_centre: "dc".into(),
        peer_address: ([10, 0, 0, index as u8], 7001).into(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn document(name: &str, version: u64, text: &str) -> VersionedDocument {
    VersionedDocument { name: name.into(), version, text: text.into(), editor: "e".into() }
}

const VALID_DOCUMENT: &str = "service = \"a\"\n[[shard]]\nname = \"x\"\n[[shard.replica]]\n\
    address = \"10.0.0.1:1\"\ndata_centre = \"dc\"\nslots = 1\nconnections = 1\n";

fn shard_count(controller: &mut Controller, now: Instant) -> usize {
    controller.handle(now + MIN_VIEW_INTERVAL, Event::Tick, &mut Vec::new());
    controller.view().topology.target("a").map_or(0, |(_, shards)| shards.len())
}

#[test]
fn an_invalid_document_leaves_the_previous_version_in_force() {
    let now = Instant::now();
    let mut controller = Controller::new(report(0), Vec::new(), 1, now);
    let mut out = Vec::new();
    controller.handle(now, Event::Documents(1, vec![document("a", 1, VALID_DOCUMENT)]), &mut out);
    assert_eq!(shard_count(&mut controller, now), 1);
    out.clear();
    controller.handle(now, Event::Documents(2, vec![document("a", 2, "service = 7")]), &mut out);
    let rejected = out
        .iter()
        .any(|action| matches!(action, Action::Rejected(document) if document.version == 2));
    assert!(rejected);
    assert_eq!(shard_count(&mut controller, now), 1);
    controller.handle(now, Event::Documents(3, Vec::new()), &mut out);
    assert_eq!(shard_count(&mut controller, now), 0);
}

#[test]
fn a_message_whose_report_names_another_daemon_than_the_link_is_ignored() {
    let now = Instant::now();
    let mut controller = Controller::new(report(0), Vec::new(), 1, now);
    let mut other = Controller::new(report(1), vec![report(0).peer_address], 2, now);
    let mut out = Vec::new();
    other.handle(now, Event::Tick, &mut out);
    let message = out
        .into_iter()
        .find_map(|action| match action {
            Action::Send(_, message) => Some(message),
            _ => None,
        })
        .unwrap();
    let mut out = Vec::new();
    controller.handle(now, Event::Message(report(2).tag(), message.clone()), &mut out);
    assert_eq!(controller.membership().peers().count(), 0);
    controller.handle(now, Event::Message(report(1).tag(), message), &mut out);
    assert_eq!(controller.membership().peers().count(), 1);
}

#[test]
fn a_daemon_joins_when_no_other_vm_is_listed_or_after_the_timeout() {
    let now = Instant::now();
    let vm = |index: usize| ListedVm {
        name: report(index).name,
        peer_address: report(index).peer_address,
        leaving: false,
    };
    let mut lone = Controller::new(report(0), Vec::new(), 1, now);
    lone.handle(now, Event::Vms(vec![vm(0)]), &mut Vec::new());
    lone.handle(now, Event::Tick, &mut Vec::new());
    assert!(lone.is_joined());
    let mut other = Controller::new(report(0), Vec::new(), 1, now);
    other.handle(now, Event::Vms(vec![vm(0), vm(1)]), &mut Vec::new());
    other.handle(now, Event::Tick, &mut Vec::new());
    assert!(!other.is_joined());
    other.handle(now + JOIN_TIMEOUT, Event::Tick, &mut Vec::new());
    assert!(other.is_joined());
}

#[test]
fn a_daemon_without_peers_watches_the_platform_and_reads_the_vm_list() {
    let now = Instant::now();
    let mut controller = Controller::new(report(0), Vec::new(), 1, now);
    let mut out = Vec::new();
    controller.handle(now, Event::Tick, &mut out);
    controller.handle(now, Event::Tick, &mut out);
    assert!(out.iter().any(|action| matches!(action, Action::Watch(true))));
    assert!(out.iter().any(|action| matches!(action, Action::ReadVms)));
}
