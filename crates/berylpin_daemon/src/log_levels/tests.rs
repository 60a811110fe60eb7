use super::*;
use slog::{Drain, Logger, debug, info, o};
use std::sync::Mutex;

/// Returns a logger and the list that it writes messages to.
fn recording(levels: &LogLevels) -> (Logger, Arc<Mutex<Vec<String>>>) {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let (written, levels) = (lines.clone(), levels.clone());
    let drain = slog::Filter::new(Recorder(written), move |record| levels.allow(record));
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
fn a_level_applies_to_its_part_alone_and_at_once() {
    let levels = LogLevels::default();
    let (log, lines) = recording(&levels);
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
fn an_unknown_name_is_rejected_with_what_is_allowed() {
    let levels = LogLevels::default();
    let error = levels.set("router", "info").unwrap_err();
    assert!(error.to_string().contains("route"), "{error}");
    assert_eq!(levels.set("route", "loud"), Err(LevelError::UnknownLevel("loud".to_owned())));
}

#[test]
fn a_sample_keeps_about_its_share_of_queries() {
    let levels = LogLevels::default();
    levels.set_sample(10);
    let kept =
        (0..10_000_u64).filter(|n| levels.samples(QueryTag(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))));
    assert!((800..1200).contains(&kept.count()));
    levels.set_sample(0);
    assert!(levels.samples(QueryTag(u64::MAX)));
}

#[test]
fn parts_are_sorted() {
    assert!(PARTS.is_sorted());
}
