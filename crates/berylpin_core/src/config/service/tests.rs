use super::*;

const DOCUMENT: &str = r#"
service = "bursar-sync-01"
group = "bursar-sync"

[targets]
urgent = "100ms"

[[shard]]
name = "a"

[[shard.replica]]
address = "127.0.0.1:9000"
data_centre = "palermo-1"
slots = 2
connections = 25
"#;

#[test]
fn a_document_is_checked_into_settings() {
    let service = ServiceSettings::parse(DOCUMENT).unwrap();
    assert_eq!(service.group, "bursar-sync");
    assert_eq!(service.targets[Rank::Urgent.index()], Duration::from_millis(100));
    assert_eq!(service.targets[Rank::Standard.index()], Duration::from_secs(1));
    assert_eq!(service.shards[0].replicas[0].slots, 2);
}

#[test]
fn an_unknown_key_is_rejected_with_its_line() {
    let text = DOCUMENT.replace("slots = 2", "slotz = 2");
    let Err(DocumentError::Syntax { line, problem }) = ServiceSettings::parse(&text) else {
        panic!("the document was accepted");
    };
    assert_eq!(line, 14);
    assert!(problem.contains("slotz"), "{problem}");
}

#[test]
fn a_value_out_of_range_is_rejected_with_its_key() {
    let text = DOCUMENT.replace("slots = 2", "slots = 0");
    let Err(DocumentError::Value { key, .. }) = ServiceSettings::parse(&text) else {
        panic!("the document was accepted");
    };
    assert_eq!(key, "shard.replica.slots");
}
