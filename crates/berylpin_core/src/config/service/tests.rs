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
fn valid_document_is_parsed_with_defaults() {
    let service = ServiceSettings::parse(DOCUMENT).unwrap();
    assert_eq!(service.group, "bursar-sync");
    assert_eq!(service.target_latencies[Rank::Urgent.index()], Duration::from_millis(100));
    assert_eq!(service.target_latencies[Rank::Standard.index()], Duration::from_secs(1));
    assert_eq!(service.shards[0].replicas[0].slots, 2);
}

#[test]
fn unknown_key_is_rejected_with_its_line() {
    let text = DOCUMENT.replace("slots = 2", "slotz = 2");
    let problems = ServiceSettings::parse(&text).unwrap_err().problems;
    let unknown = problems.iter().find(|p| p.key == "shard.replica.slotz").unwrap();
    assert_eq!(unknown.line, Some(14));
    assert!(unknown.problem.contains("did you mean `slots`"), "{unknown}");
}

#[test]
fn value_out_of_range_is_rejected_with_its_key() {
    let text = DOCUMENT.replace("slots = 2", "slots = 0");
    let problems = ServiceSettings::parse(&text).unwrap_err().problems;
    assert_eq!(problems[0].key, "shard.replica.slots");
    assert_eq!(problems[0].line, Some(14));
}

#[test]
fn document_stored_under_another_name_is_rejected() {
    assert!(ServiceSettings::parse_named("bursar-sync-01", DOCUMENT).is_ok());
    let problems = ServiceSettings::parse_named("bursar-sync-02", DOCUMENT).unwrap_err().problems;
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].key, "service");
}

#[test]
fn document_over_the_size_limit_is_rejected() {
    let text = format!("{DOCUMENT}\n#{}", " ".repeat(MAX_DOCUMENT_BYTES));
    let error = ServiceSettings::parse(&text).unwrap_err();
    assert!(error.to_string().contains("bytes"), "{error}");
}
