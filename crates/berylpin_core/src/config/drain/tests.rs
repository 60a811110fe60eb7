use super::*;
use crate::config::ServiceSettings;

const DOCUMENT: &str = r#"# Owned by the quota team.
service = "quota-desk-01"   # do not rename

[[shard]]
name = "main"

[[shard.replica]]
address = "127.0.0.1:9000"
data_centre = "palermo-1"
slots = 2
connections = 25

[[shard.replica]]
address = "127.0.0.1:9001"
data_centre = "catania-1"
slots = 2
connections = 25
"#;

#[test]
fn set_drain_changes_only_the_replica_at_the_address() {
    let address = "127.0.0.1:9001".parse().unwrap();
    let drained = set_drain(DOCUMENT, address, true).unwrap();
    assert_eq!(drained, format!("{DOCUMENT}drain = true\n"));
    let service = ServiceSettings::parse(&drained).unwrap();
    let replicas = &service.shards[0].replicas;
    assert!(replicas.iter().all(|replica| replica.drain == (replica.address == address)));
    assert_eq!(set_drain(&drained, address, false).unwrap(), DOCUMENT);
}

#[test]
fn set_drain_finds_replicas_in_inline_tables() {
    let text = "shard = [{ name = \"a\", replica = [{ address = \"10.0.0.1:1\" }] }]\n";
    let drained = set_drain(text, "10.0.0.1:1".parse().unwrap(), true).unwrap();
    assert!(drained.contains("drain = true"), "{drained}");
}

#[test]
fn set_drain_returns_none_for_an_unknown_address_or_invalid_toml() {
    assert_eq!(set_drain(DOCUMENT, "127.0.0.1:9002".parse().unwrap(), true), None);
    assert_eq!(set_drain("not toml", "127.0.0.1:9002".parse().unwrap(), true), None);
}
