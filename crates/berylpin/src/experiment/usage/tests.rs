use super::*;

fn stat(name: &str) -> String {
    format!("17 ({name}) S 1 17 17 0 -1 4194560 100 0 0 0 12 5 0 0 20 0 9 0 100 1000 10")
}

#[test]
fn ticks_of_other_threads_are_ignored() {
    assert_eq!(control_ticks(&stat("control")), Some(17.0));
    assert_eq!(control_ticks(&stat("traffic-0")), None);
    assert_eq!(control_ticks(""), None);
}

#[test]
fn resident_memory_is_read_from_proc() {
    assert!(memory_mb() > 1.0);
}
