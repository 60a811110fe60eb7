//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let elapsed = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written does not change the verdict.
        let _ = writeln!(file, "{elapsed:9.3} {text}");
    }
}
