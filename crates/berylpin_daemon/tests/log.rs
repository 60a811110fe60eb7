//! Logs whose writer fails.

use berylpin_daemon::{LogFormat, open_log};
use slog::info;
use std::io::{self, Write};
use std::sync::mpsc::{Sender, channel};

/// Fails the first write, as a full pipe or a full disk does.
struct FailsOnce {
    failed: bool,
    lines: Sender<Vec<u8>>,
}

impl Write for FailsOnce {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.failed {
            self.failed = true;
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let _ = self.lines.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// One failed write ended the log thread, and no line was written from then on.
#[test]
fn a_failed_write_does_not_end_the_log() {
    let (lines, written) = channel();
    let log = open_log(LogFormat::Json, 16, FailsOnce { failed: false, lines });
    info!(log, "first");
    info!(log, "second");
    // The channel closes when the log thread ends.
    let bytes: Vec<u8> = std::iter::from_fn(|| written.recv().ok())
        .scan(Vec::new(), |text, bytes| {
            text.extend(bytes);
            Some(text.clone())
        })
        .find(|text| String::from_utf8_lossy(text).contains("second"))
        .expect("the log thread ended");
    assert!(!bytes.is_empty());
}
