//! The record of a run: what was sent, answered and run, with seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Mutex::new(file), start: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.seconds());
    }
}
