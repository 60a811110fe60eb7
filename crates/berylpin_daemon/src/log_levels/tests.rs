use super::*;
use slog::{Drain, Logger, debug, info, o};
use std::sync::Mutex;

/// Returns a logger and the list to which its messages are appended.
fn recording_logger(levels: &LogLevels) -> (Logger, Arc<Mutex<Vec<String>>>) {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let (recorded, levels) = (lines.clone(), levels.clone());
    let drain = slog::Filter::new(Recorder(recorded), move |record| levels.is_enabled(record));
    (Logger::root(drain.fuse(), o!()), lines)
}

struct Recorder(Arc<Mutex<Vec<String>>>);

impl Drain for Recorder {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn level_applies_at_once_and_only_to_its_part() {
    let levels = LogLevels::default();
    let (log, lines) = recording_logger(&levels);
    levels.set("route", "info").unwrap();
    debug!(log, "route: attempt sent");
    debug!(log, "owner: call started");
    levels.set("route", "debug").unwrap();
    debug!(log, "route: attempt sent");
    info!(log, "a line without a part");
    let expected = ["owner: call started", "route: attempt sent", "a line without a part"];
    assert_eq!(*lines.lock().unwrap(), expected);
}

#[test]
fn unknown_part_or_level_is_rejected() {
    let levels = LogLevels::default();
    let error = levels.set("router", "info").unwrap_err();
    assert!(error.to_string().contains("route"), "{error}");
    assert_eq!(levels.set("route", "loud"), Err(LevelError::UnknownLevel("loud".to_owned())));
}

#[test]
fn sampling_selects_about_one_query_in_divisor() {
    let levels = LogLevels::default();
    levels.set_sample_divisor(10);
    // Sampling reads the high bits of a tag; multiplying by 2^64 divided by the golden ratio
    // spreads consecutive numbers over them.
    let sampled = (0..10_000_u64)
        .filter(|n| levels.is_sampled(QueryTag(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))));
    assert!((800..1200).contains(&sampled.count()));
    levels.set_sample_divisor(0);
    assert!(levels.is_sampled(QueryTag(u64::MAX)));
}

#[test]
fn log_parts_are_sorted() {
    assert!(LOG_PARTS.is_sorted());
}
