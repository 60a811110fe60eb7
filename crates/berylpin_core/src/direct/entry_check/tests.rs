use super::*;
use crate::direct::testing::{catalogue, daemon_entry, replica_entry};
use crate::direct::{StateDelta, StateRevisions, StorePosition};
use proptest::prelude::*;
use std::time::Instant;

const ODD_NAMES: [&str; 12] =
    ["", ".", "..", "i-1\u{1}", "i 1", "i&1", "i+1", "i#1", "i%31", "i/1", "\u{fc}", "i\u{7f}"];

const ODD_ADDRESSES: [&str; 6] = [
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "10.0.0.1:0",
    "[::]:80",
    "[::ffff:0.0.0.0]:80",
];

/// Entries of replicas, each with one odd field.
fn odd_replicas() -> Vec<ReplicaEntry> {
    let sound = || replica_entry("i-1", "shard-0", "palermo");
    let long = "i".repeat(MAX_NAME_BYTES + 1);
    let names = ODD_NAMES.into_iter().chain([&*long]);
    let labels = ["", "a\n", &*long];
    let mut entries: Vec<_> = names.map(|name| replica_entry(name, "shard-0", "palermo")).collect();
    entries.extend(labels.map(|label| replica_entry("i-1", label, "palermo")));
    entries.extend(labels.map(|label| replica_entry("i-1", "shard-0", label)));
    entries.extend(
        ODD_ADDRESSES.map(|text| ReplicaEntry { address: text.parse().unwrap(), ..sound() }),
    );
    entries
}

#[test]
fn an_entry_with_an_odd_field_is_rejected() {
    assert_eq!(replica_entry("i-7F.a_b~c", "shard-0", "palermo").check(), Ok(()));
    assert_eq!(daemon_entry("front-1", "palermo").check(), Ok(()));
    for entry in odd_replicas() {
        assert!(entry.check().is_err(), "{entry:?}");
        let ReplicaEntry { id, service, address, data_centre, .. } = entry;
        let daemon = DaemonEntry { name: id, address, data_centre, revision: 1 };
        assert_eq!(daemon.check().is_ok(), check_label(&service).is_err(), "{daemon:?}");
    }
}

/// A replica whose name no header can hold got requests without the name that it has to check.
#[test]
fn no_way_leads_an_odd_replica_into_a_view() {
    let now = Instant::now();
    for odd in odd_replicas() {
        let mut known = catalogue("palermo-1", "palermo", 3, now);
        let before = known.view().unwrap();
        assert!(!known.put_replica(odd.clone(), now), "{odd:?}");
        let (at, mut entries) = known.delta_since(StateRevisions::default()).replicas.unwrap();
        entries.push(odd.clone());
        let newer = StorePosition { revision: at.revision + 1, ..at };
        let delta = StateDelta { replicas: Some((newer, entries)), ..StateDelta::default() };
        known.apply_delta(delta, now);
        let after = known.view().unwrap();
        for (id, service) in before.services.iter() {
            assert_eq!(service.replicas, after.replicas(id), "{odd:?}");
        }
        assert!(after.services.iter().all(|(_, service)| service.replicas.len() <= 2), "{odd:?}");
    }
}

proptest! {
    #[test]
    fn a_checked_name_is_short_visible_ascii(name in any::<String>()) {
        if let Ok(checked) = ReplicaName::new(&name) {
            prop_assert_eq!(&*checked, name.as_str());
            prop_assert!((1..=MAX_NAME_BYTES).contains(&name.len()));
            prop_assert!(name.bytes().all(|byte| byte.is_ascii_graphic()));
        }
    }
}
