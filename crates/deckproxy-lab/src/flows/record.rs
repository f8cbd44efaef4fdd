//! A stored record: what one flow was, in words.

use crate::error::LabError;
use deckproxy_flow::codec::elements::{self, NO_VALUE, ProjectElement};
use deckproxy_flow::codec::{Element, Value};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// One flow as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Who told it, and under which observation domain.
    pub exporter: String,
    pub domain: u32,
    /// When it began and ended, Unix ms.
    pub start: u64,
    pub end: u64,
    /// "client", "member" or "link".
    pub leg: String,
    /// The client's prefix.
    pub client: Option<IpNet>,
    pub class: String,
    /// The cache, parent or origin that was asked.
    #[serde(rename = "box")]
    pub member: String,
    /// The site at the other end of a link.
    pub link: String,
    pub result: String,
    /// Bytes towards the client, and from it.
    pub out: u64,
    pub back: u64,
    pub requests: u64,
    /// 99th percentile of the latency, µs.
    pub p99: u64,
    /// 0 as it was metered, 1 to 3 coarser.
    pub folded: u8,
    /// Requests, flows and bytes that the exporter says it lost: of a record of loss, not of a flow.
    #[serde(skip_serializing_if = "is_none")]
    pub lost: u64,
    #[serde(skip_serializing_if = "is_none")]
    pub lost_bytes: u64,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_none(n: &u64) -> bool {
    *n == 0
}

/// Whether an element is one of this project's: under any enterprise, as installations use their own number, or
/// where NetFlow v9 has it.
fn is(element: Element, own: ProjectElement) -> bool {
    match element.enterprise {
        Some(elements::REVERSE) => false,
        Some(_) => element.id == own.id,
        None => element.id == 0xe000 + own.id,
    }
}

fn text(value: &Value) -> String {
    let Value::Bytes(bytes) = value else { return String::new() };
    let end = bytes.iter().rposition(|b| *b != 0).map_or(0, |i| i + 1);
    let text = String::from_utf8_lossy(&bytes[..end]);
    // What comes from the network is shown in a terminal some time.
    let text: String = text.chars().filter(|c| !c.is_control()).take(128).collect();
    if text == NO_VALUE { String::new() } else { text }
}

impl Record {
    /// From a decoded record of flows or of losses (`scope` over 0); none where it is neither.
    pub fn read(exporter: IpAddr, domain: u32, scope: u16, values: &[(Element, Value)]) -> Option<Record> {
        let mut record = Record { exporter: exporter.to_string(), domain, ..Record::default() };
        let (mut address, mut bits, mut known) = (None, None, false);
        for (element, value) in values {
            let number = || value.number().unwrap_or(0);
            match *element {
                elements::OCTETS => record.out = number(),
                elements::REVERSE_OCTETS_V9 => record.back = number(),
                e if e == elements::reverse(elements::OCTETS) => record.back = number(),
                elements::FLOWS => record.requests = number(),
                elements::START => record.start = number(),
                elements::END => record.end = number(),
                elements::APPLICATION => record.class = text(value),
                elements::CLIENT_V4 | elements::CLIENT_V6 => {
                    if let Value::Bytes(b) = value {
                        address = <[u8; 4]>::try_from(&b[..]).map(IpAddr::from).ok();
                        address = address.or(<[u8; 16]>::try_from(&b[..]).map(IpAddr::from).ok());
                    }
                }
                elements::CLIENT_V4_LENGTH | elements::CLIENT_V6_LENGTH => bits = Some(number()),
                elements::LOST_FLOWS => record.lost = number(),
                elements::LOST_OCTETS => record.lost_bytes = number(),
                e if is(e, elements::MEMBER) => record.member = text(value),
                e if is(e, elements::SITE) => record.link = text(value),
                e if is(e, elements::RESULT) => record.result = text(value),
                e if is(e, elements::P99) => record.p99 = number(),
                e if is(e, elements::FOLDED) => record.folded = number().min(255) as u8,
                e if is(e, elements::LEG) => {
                    record.leg = text(value);
                    known = true;
                }
                _ => {}
            }
        }
        if scope > 0 {
            return (record.lost > 0).then_some(record);
        }
        if !known {
            // Another exporter's flow: its bytes are taken for a client's.
            record.leg = "client".to_string();
        }
        // Zero bits are how a flow of all clients is told.
        record.client = match (address, bits) {
            (Some(_), Some(0)) => None,
            (Some(address), Some(bits)) => {
                IpNet::new(address, u8::try_from(bits).ok()?).ok().map(|n| n.trunc())
            }
            (Some(address), None) => Some(IpNet::from(address)),
            _ => None,
        };
        Some(record)
    }

    /// Whether it tells of a loss.
    pub fn is_loss(&self) -> bool {
        self.lost > 0
    }
}

/// The last second that RFC 3339 can write: 9999-12-31T23:59:59Z, in Unix time.
const LAST_SECOND: u64 = 253_402_300_799;

/// A time in Unix ms as RFC 3339 text with milliseconds.
///
/// A time after the year 9999, which an exporter may send, has no such text: its number is shown.
pub fn shown_time(unix_ms: u64) -> String {
    representable(unix_ms)
        .map_or_else(|| format!("{unix_ms} ms"), |time| humantime::format_rfc3339_millis(time).to_string())
}

/// The same to the second.
pub fn shown_second(unix_ms: u64) -> String {
    representable(unix_ms)
        .map_or_else(|| format!("{unix_ms} ms"), |time| humantime::format_rfc3339_seconds(time).to_string())
}

fn representable(unix_ms: u64) -> Option<SystemTime> {
    (unix_ms / 1000 <= LAST_SECOND).then(|| UNIX_EPOCH + Duration::from_millis(unix_ms))
}

/// The files of a folder, in the order of time.
pub fn files(folder: &Path) -> Result<Vec<PathBuf>, LabError> {
    let all = fs::read_dir(folder).map_err(LabError::file(folder))?;
    let ours = |path: &PathBuf| {
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or("");
        name.starts_with("flows-") && path.extension().is_some_and(|extension| extension == "jsonl")
    };
    let mut files: Vec<PathBuf> = all.filter_map(|e| Some(e.ok()?.path())).filter(ours).collect();
    files.sort();
    Ok(files)
}

/// Hands over all records of a folder. A line that is none is told with its place, once a file, and passed over: the
/// last one may be half written. Gives how many those were.
pub fn each(folder: &Path, mut take: impl FnMut(Record)) -> Result<usize, LabError> {
    let mut bad = 0;
    for path in files(folder)? {
        let shown = path.display();
        let lines = BufReader::new(File::open(&path).map_err(LabError::file(&path))?).lines();
        let mut told = false;
        for (i, line) in lines.enumerate() {
            let line: Result<Record, String> = match line {
                Ok(line) => serde_json::from_str(&line).map_err(|e| e.to_string()),
                Err(e) if e.kind() == io::ErrorKind::InvalidData => Err("not UTF-8".to_string()),
                Err(e) => return Err(LabError::file(&path)(e)),
            };
            match line {
                Ok(record) => take(record),
                Err(why) => {
                    bad += 1;
                    if !std::mem::replace(&mut told, true) {
                        eprintln!("{shown}:{}: no record: {why}", i + 1);
                    }
                }
            }
        }
    }
    Ok(bad)
}
