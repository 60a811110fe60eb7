use super::*;
use crate::direct::Target;
use crate::direct::testing::{REMOTE_DATA_CENTRE, REPLICA_DATA_CENTRES, catalogue};

/// More shards than an entry asks for itself.
const MANY: usize = DIRECT_SHARD_LIMIT + 10;

fn view(own: &str, data_centre: &str, shards: usize) -> View {
    catalogue(own, data_centre, shards, Instant::now()).view().unwrap()
}

fn groups_of(view: &View) -> Vec<Group> {
    let Target::Shards { services, .. } = &view.routes[1].target else {
        panic!("the second route is the query")
    };
    groups(view, services)
}

#[test]
fn a_daemon_far_from_all_replicas_leaves_all_parts_to_daemons_near_them() {
    let view = view("messina-1", REMOTE_DATA_CENTRE, 20);
    let groups = groups_of(&view);
    let mut parts: Vec<usize> = groups.iter().flat_map(|group| group.parts.clone()).collect();
    parts.sort_unstable();
    assert_eq!(parts, (0..20).collect::<Vec<_>>());
    let mut centres: Vec<_> = groups.iter().map(|group| group.data_centre).collect();
    centres.sort_unstable();
    centres.dedup();
    assert_eq!(
        centres.len(),
        REPLICA_DATA_CENTRES.len(),
        "shards that are equally near are spread"
    );
    let mut peers = Peers::default();
    for group in groups {
        let owner = peers.owner(&view, &group, Instant::now());
        assert!(matches!(owner, Owner::Unconnected(peer) if peer.data_centre == group.data_centre));
    }
}

#[test]
fn an_entry_asks_few_shards_of_its_own_data_centre_itself() {
    assert_eq!(groups_of(&view("palermo-1", "palermo", 20)), []);
    assert_ne!(groups_of(&view("palermo-1", "palermo", MANY)), []);
}

#[test]
fn daemons_of_a_data_centre_agree_on_the_owner() {
    let now = Instant::now();
    let (first, second) = (view("palermo-1", "palermo", MANY), view("palermo-2", "palermo", MANY));
    for group in groups_of(&first) {
        assert!(groups_of(&second).contains(&group));
        // A daemon that owns a group connects to nobody for it.
        let owns = |view| matches!(connected(view, &group, now), Owner::Local);
        assert_ne!(owns(&first), owns(&second), "group {} has one owner", group.number);
    }
}

/// Returns the owner once all peers are connected.
fn connected(view: &View, group: &Group, now: Instant) -> Owner {
    let mut peers = Peers::default();
    view.peers.iter().for_each(|peer| peers.set_connected(peer.id, true));
    peers.owner(view, group, now)
}

#[test]
fn an_owner_that_is_not_connected_is_connected_to_even_if_this_daemon_is_the_next_candidate() {
    let now = Instant::now();
    let view = view("palermo-1", "palermo", MANY);
    for group in groups_of(&view) {
        let first = connected(&view, &group, now);
        let fresh = Peers::default().owner(&view, &group, now);
        assert!(!matches!(first, Owner::Peer(_)) || matches!(fresh, Owner::Unconnected(_)));
    }
}

#[test]
fn a_silent_peer_rests_and_the_next_candidate_takes_over() {
    let now = Instant::now();
    let view = view("messina-1", REMOTE_DATA_CENTRE, 10);
    let group = &groups_of(&view)[0];
    let mut peers = Peers::default();
    let Owner::Unconnected(first) = peers.owner(&view, group, now) else {
        panic!("nothing is connected yet")
    };
    peers.set_connected(first.id, true);
    assert!(matches!(peers.owner(&view, group, now), Owner::Peer(peer) if peer == first));
    peers.record_failure(first.id, now);
    let next = peers.owner(&view, group, now);
    assert!(matches!(next, Owner::Unconnected(peer) if peer != first));
    let later = now + BACK_OFF;
    assert!(matches!(peers.owner(&view, group, later), Owner::Peer(peer) if peer == first));
}
