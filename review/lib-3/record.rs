//! The file that says what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), start: Instant::now() })
    }

    /// Writes a line with the time in seconds since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let at = self.start.elapsed().as_secs_f64();
        _ = writeln!(file, "{at:8.3} {text}");
    }
}
