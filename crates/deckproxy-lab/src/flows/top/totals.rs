//! Sums of records by a key. A sum saturates, as counters may hold anything that an exporter sends.

use crate::flows::filter::Filter;
use crate::flows::plot::Span;
use crate::flows::record::Record;
use clap::ValueEnum;
use std::collections::HashMap;

/// By what records are summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum By {
    /// Clients' prefixes.
    Client,
    /// Classes of requests.
    Class,
    /// Sites at the other end of links: the bytes on the links.
    Link,
    /// Caches, parents and origin: the bytes between them and the gateway.
    Box,
    /// How requests ended.
    Result,
    /// The gateways that exported the records.
    Exporter,
}

impl By {
    /// Which bytes are summed: those of clients, unless the key belongs to another leg.
    fn leg(self) -> &'static str {
        match self {
            By::Box => "member",
            By::Link => "link",
            _ => "client",
        }
    }

    fn key(self, record: &Record) -> String {
        let text = match self {
            By::Client => return record.client.map_or("(all)".to_string(), |client| client.to_string()),
            By::Class => &record.class,
            By::Link => &record.link,
            By::Box => &record.member,
            By::Result => &record.result,
            By::Exporter => &record.exporter,
        };
        if text.is_empty() { "(none)".to_string() } else { text.clone() }
    }

    /// The name of the key's column.
    pub fn title(self) -> &'static str {
        match self {
            By::Client => "client",
            By::Class => "class",
            By::Link => "link",
            By::Box => "box",
            By::Result => "result",
            By::Exporter => "exporter",
        }
    }
}

/// Which records are summed, and by what.
#[derive(Debug)]
pub struct Selection {
    pub by: By,
    /// The filter that they match.
    pub filter: Option<Filter>,
    /// They end at this time or later, Unix ms.
    pub from: u64,
    /// They start before this time, Unix ms.
    pub to: u64,
}

impl Selection {
    fn contains(&self, record: &Record) -> bool {
        record.leg == self.by.leg()
            && record.end >= self.from
            && record.start < self.to
            && self.filter.as_ref().is_none_or(|filter| filter.matches(record))
    }
}

/// The sum of the records of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total {
    pub bytes_out: u64,
    pub bytes_back: u64,
    pub requests: u64,
    /// The largest of the records' 99th percentiles of the latency.
    pub worst_p99_us: u64,
    pub records: u64,
}

impl Total {
    fn add(&mut self, record: &Record) {
        self.bytes_out = self.bytes_out.saturating_add(record.out);
        self.bytes_back = self.bytes_back.saturating_add(record.back);
        self.requests = self.requests.saturating_add(record.requests);
        self.worst_p99_us = self.worst_p99_us.max(record.p99);
        self.records += 1;
    }
}

/// What exporters dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lost {
    pub flows: u64,
    pub bytes: u64,
}

/// The sums of the selected records.
#[derive(Debug)]
pub struct Totals {
    selection: Selection,
    by_key: HashMap<String, Total>,
    /// The records' times for a picture, if there is to be one.
    spans: Option<Vec<Span>>,
    lost: Lost,
    folded_bytes: u64,
}

impl Totals {
    /// No sums yet. With `keep_spans`, the times of the records are kept for a picture.
    pub fn new(selection: Selection, keep_spans: bool) -> Self {
        Totals {
            selection,
            by_key: HashMap::new(),
            spans: keep_spans.then(Vec::new),
            lost: Lost::default(),
            folded_bytes: 0,
        }
    }

    /// Adds a record if it is selected. Losses always count, as they have no key.
    pub fn add(&mut self, record: &Record) {
        if record.is_loss() {
            self.lost.flows = self.lost.flows.saturating_add(record.lost);
            self.lost.bytes = self.lost.bytes.saturating_add(record.lost_bytes);
            return;
        }
        if !self.selection.contains(record) {
            return;
        }
        if record.folded > 0 {
            self.folded_bytes = self.folded_bytes.saturating_add(record.out);
        }
        let key = self.selection.by.key(record);
        if let Some(spans) = &mut self.spans {
            spans.push(Span { key: key.clone(), start: record.start, end: record.end, bytes: record.out });
        }
        self.by_key.entry(key).or_default().add(record);
    }

    /// The sums, those of most bytes towards clients first.
    pub fn rows(&self) -> Vec<(String, Total)> {
        let mut rows: Vec<(String, Total)> =
            self.by_key.iter().map(|(key, total)| (key.clone(), *total)).collect();
        rows.sort_by(|a, b| (b.1.bytes_out, &a.0).cmp(&(a.1.bytes_out, &b.0)));
        rows
    }

    /// Bytes towards clients of all keys.
    pub fn bytes_out(&self) -> u64 {
        self.by_key.values().fold(0u64, |sum, total| sum.saturating_add(total.bytes_out))
    }

    /// When the bytes of the records were sent; nothing without a picture.
    pub fn spans(&self) -> &[Span] {
        self.spans.as_deref().unwrap_or_default()
    }

    /// What exporters dropped.
    pub fn lost(&self) -> Lost {
        self.lost
    }

    /// Bytes towards clients in records whose key the meter had to make coarser.
    pub fn folded_bytes(&self) -> u64 {
        self.folded_bytes
    }
}
