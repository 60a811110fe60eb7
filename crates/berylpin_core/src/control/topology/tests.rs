use super::*;
use std::fmt::Write;

fn service(name: &str, ports: &[(&str, u16)]) -> Arc<ServiceSettings> {
    let mut text = format!("service = \"{name}\"\n");
    for (shard, port) in ports {
        let _ = writeln!(
            text,
            "[[shard]]\nname = \"{shard}\"\n[[shard.replica]]\naddress = \"10.0.0.1:{port}\"\n\
             data_centre = \"dc\"\nslots = 1\nconnections = 1"
        );
    }
    Arc::new(ServiceSettings::parse(&text).unwrap())
}

#[test]
fn ids_stay_valid_when_documents_are_removed_and_added() {
    let (a, b) = (service("a", &[("x", 1), ("y", 2)]), service("b", &[("x", 3)]));
    let first = Topology::default().with_documents(&[a.clone(), b.clone()]);
    let without = first.with_documents(std::slice::from_ref(&b));
    let again = without.with_documents(&[b, a]);
    assert!(without.target("a").is_none());
    for (id, replica) in first.replicas.iter() {
        assert_eq!(again.replicas[id].settings, replica.settings);
        assert!(again.replicas[id].listed);
    }
    assert_eq!(first.target("a"), again.target("a"));
    assert_eq!(again.shards.len(), 3);
}

#[test]
fn shards_with_the_same_name_in_two_services_are_distinct() {
    let topology = Topology::default()
        .with_documents(&[service("a", &[("x", 1)]), service("b", &[("x", 2), ("w", 3)])]);
    let ports = |target: &str| -> Vec<u16> {
        let (_, shards) = topology.target(target).unwrap();
        let replicas = shards.iter().flat_map(|id| &topology.shards[*id].replicas);
        let mut ports: Vec<u16> =
            replicas.map(|id| topology.replicas[*id].settings.address.port()).collect();
        ports.sort_unstable();
        ports
    };
    assert_eq!(ports("a"), [1]);
    assert_eq!(ports("b"), [2, 3]);
}
