//! The collector's files of records.

use crate::error::LabError;
use crate::flows::record::Record;
use crate::flows::{record_files, time};
use deckproxy_flow::codec::{DecodedMessage, DecodedRecord};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

const HOUR_MS: u64 = 3_600_000;
const BYTES_PER_MB: u64 = 1_000_000;

/// Counts of what was received so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Messages of exporters.
    pub messages: u64,
    /// Records that were stored.
    pub records: u64,
    /// Records that are missing by the messages' sequence numbers.
    pub missing: u64,
    /// Sets without a template.
    pub unknown_sets: u64,
    /// Messages of which a part could not be read.
    pub errors: u64,
}

/// Stores records in a file for each hour, and removes the oldest files.
pub struct Store {
    folder: PathBuf,
    /// MB that the files may take.
    keep_mb: u64,
    /// The file that is written, and its hour.
    open: Option<(u64, BufWriter<File>)>,
    counts: Counts,
    /// The first failure to write.
    failure: Option<io::Error>,
}

impl Store {
    /// A store in a folder that exists.
    pub fn new(folder: PathBuf, keep_mb: u64) -> Self {
        Store { folder, keep_mb, open: None, counts: Counts::default(), failure: None }
    }

    /// Counts of what was received so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Stores the records of a message. A failure is given by the next [`flush`](Self::flush).
    pub fn add(&mut self, exporter: IpAddr, message: &DecodedMessage) {
        self.counts.messages += 1;
        self.counts.missing += u64::from(message.missing);
        self.counts.unknown_sets += message.unknown_sets as u64;
        self.counts.errors += u64::from(message.error.is_some());
        for DecodedRecord { scope, values } in &message.records {
            let Some(record) = Record::decode(exporter, message.domain, *scope, values) else { continue };
            self.counts.records += 1;
            if let Err(error) = self.write(&record) {
                self.failure.get_or_insert(error);
            }
        }
    }

    /// Writes out what is buffered.
    ///
    /// # Errors
    ///
    /// A record could not be written, now or before.
    pub fn flush(&mut self) -> Result<(), LabError> {
        let flushed = self.open.as_mut().map_or(Ok(()), |(_, file)| file.flush());
        match self.failure.take().map_or(flushed, Err) {
            Ok(()) => Ok(()),
            Err(source) => Err(LabError::Store { folder: self.folder.clone(), source }),
        }
    }

    fn write(&mut self, record: &Record) -> io::Result<()> {
        let file = self.current_file()?;
        serde_json::to_writer(&mut *file, record)?;
        file.write_all(b"\n")
    }

    /// The file of this hour.
    fn current_file(&mut self) -> io::Result<&mut BufWriter<File>> {
        let hour = time::unix_ms(SystemTime::now()) / HOUR_MS;
        let (_, file) = match self.open.take() {
            Some((open_hour, file)) if open_hour == hour => self.open.insert((hour, file)),
            previous => {
                drop(previous);
                self.remove_oldest()?;
                let path = self.folder.join(record_files::file_name(hour));
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                self.open.insert((hour, BufWriter::new(file)))
            }
        };
        Ok(file)
    }

    /// Removes the oldest files beyond what is kept.
    fn remove_oldest(&self) -> io::Result<()> {
        let files = record_files::list(&self.folder).map_err(io::Error::other)?;
        let size = |path: &Path| fs::metadata(path).map_or(0, |metadata| metadata.len());
        let mut total: u64 = files.iter().map(|file| size(file)).sum();
        for path in files {
            if total <= self.keep_mb.saturating_mul(BYTES_PER_MB) {
                break;
            }
            total -= size(&path);
            fs::remove_file(&path)?;
            eprintln!("removed {}: the files took more than {} MB", path.display(), self.keep_mb);
        }
        Ok(())
    }
}
