use super::*;

const ENTRY: &str = r#"{"msg":"route: shards delegated to peer","level":"DEBG","ts":"2026-01-01T00:00:01.2Z","parts":5,"request":"a"}
not json
{"msg":"route: request done","level":"INFO","ts":"2026-01-01T00:00:01.9Z","missing":1,"request":"a"}
{"msg":"route: request done","level":"INFO","ts":"2026-01-01T00:00:01.3Z","missing":0,"request":"b"}
"#;

const OWNER: &str = r#"{"msg":"route: attempt failed","level":"INFO","ts":"2026-01-01T00:00:01.5Z","outcome":"refused","request":"a"}
["a"]
"#;

#[test]
fn lines_of_one_request_come_in_the_order_of_time() {
    let mut entries = Vec::new();
    collect(ENTRY.as_bytes(), "front-1", "a", &mut entries).unwrap();
    collect(OWNER.as_bytes(), "front-2", "a", &mut entries).unwrap();
    entries.sort();
    let lines: Vec<_> = entries.iter().map(|e| format!("{} {}", e.source, e.text)).collect();
    assert_eq!(
        lines,
        [
            "front-1 route: shards delegated to peer parts=5",
            "front-2 route: attempt failed outcome=refused",
            "front-1 route: request done missing=1",
        ]
    );
}

#[test]
fn a_file_is_named_without_folder_and_ending() {
    assert_eq!(source(Path::new("logs/front-1.log")), "front-1");
}
