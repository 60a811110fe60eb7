use super::*;

const ENTRY_LOG: &str = r#"{"msg":"route: shards delegated to peer","level":"DEBG","ts":"2026-01-01T00:00:01.2Z","parts":5,"request":"a"}
not json
{"msg":"route: request done","level":"INFO","ts":"2026-01-01T00:00:01.9Z","missing":1,"request":"a"}
{"msg":"route: request done","level":"INFO","ts":"2026-01-01T00:00:01.3Z","missing":0,"request":"b"}
"#;

const PEER_LOG: &str = r#"{"msg":"route: attempt failed","level":"INFO","ts":"2026-01-01T00:00:01.5Z","outcome":"refused","request":"a"}
["a"]
"#;

#[test]
fn lines_of_one_request_are_sorted_by_time() {
    let mut lines = Vec::new();
    collect_lines(ENTRY_LOG.as_bytes(), "front-1", "a", &mut lines).unwrap();
    collect_lines(PEER_LOG.as_bytes(), "front-2", "a", &mut lines).unwrap();
    lines.sort();
    let rendered: Vec<_> =
        lines.iter().map(|line| format!("{} {}", line.source, line.text)).collect();
    assert_eq!(
        rendered,
        [
            "front-1 route: shards delegated to peer parts=5",
            "front-2 route: attempt failed outcome=refused",
            "front-1 route: request done missing=1",
        ]
    );
}

#[test]
fn source_name_omits_folder_and_extension() {
    assert_eq!(source_name(Path::new("logs/front-1.log")), "front-1");
}
