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
