use super::*;
use proptest::prelude::*;
use std::sync::{Arc, Mutex};

/// A writer whose content outlives the log.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A writer that takes its time for each line.
struct SlowWriter(Buffer, Duration);

impl Write for SlowWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if buf.ends_with(b"\n") {
            thread::sleep(self.1);
        }
        self.0.write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The process waited for a fixed time at its end, and its last lines were lost when the thread that
/// writes had no processor time meanwhile.
#[test]
fn all_lines_are_written_before_the_end_whoever_holds_the_log() {
    let buffer = Buffer::default();
    let writer = SlowWriter(buffer.clone(), Duration::from_millis(10));
    let (log, log_writer) = open_process_log(64, writer);
    for number in 0..40 {
        info!(log, "daemon: test"; "number" => number);
    }
    assert!(log_writer.finish(Duration::from_secs(20)));
    // Another thread may write later.
    info!(log, "daemon: test");
    assert_eq!(buffer.0.lock().unwrap().split(|byte| *byte == b'\n').count(), 41);
}

/// A reader that stops reading would hold up the end of the process.
#[test]
fn a_blocked_output_does_not_hold_up_the_end() {
    let writer = SlowWriter(Buffer::default(), Duration::from_secs(20));
    let (log, log_writer) = open_process_log(64, writer);
    info!(log, "daemon: test");
    assert!(!log_writer.finish(Duration::from_millis(10)));
}

proptest! {
    /// Names of entries come from other writers; none may end a line or forge a field.
    #[test]
    fn text_from_outside_stays_in_its_field(name in any::<String>(), odd in "[\\x00-\\x1f\"\\\\]{0,8}") {
        let buffer = Buffer::default();
        let log = open_log(LogFormat::Json, 16, buffer.clone());
        let name = format!("{name}{odd}");
        info!(log, "control: entry ignored"; "entry" => &name, "cause" => %odd);
        // The log writes its queue before it ends.
        drop(log);
        let written = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
        prop_assert_eq!(written.matches('\n').count(), 1);
        let line: serde_json::Value = serde_json::from_str(&written).unwrap();
        prop_assert_eq!(line["entry"].as_str(), Some(&*name));
        prop_assert_eq!(line["cause"].as_str(), Some(&*odd));
        prop_assert_eq!(line["msg"].as_str(), Some("control: entry ignored"));
    }
}
