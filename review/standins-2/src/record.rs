//! The record of a run: what was sent, answered and run, a line each.

use crate::{lock, now_ms};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// The file that a case writes.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: f64,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Record { file: Arc::new(Mutex::new(file)), start: now_ms() })
    }

    /// Writes a line, with the seconds since the start.
    pub fn line(&self, text: &str) {
        let seconds = (now_ms() - self.start) / 1000.0;
        let _ = writeln!(lock(&self.file), "{seconds:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = lock(&self.file).flush();
    }
}
