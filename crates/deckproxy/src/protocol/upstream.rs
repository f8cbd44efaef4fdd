//! The members' side: RESP arrays of bulk strings.
//!
//! The decoder is this project's own: it keeps its place in a message, checks each length before anything is
//! reserved for it, and gives bodies as slices of what was read.

use crate::protocol::downstream::Call;
use crate::protocol::limits;
use bytes::{Bytes, BytesMut};
use std::fmt::Write;
use std::ops::Range;

/// Orders for an attempt beside the request itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// How long the gateway will wait, ms.
    pub wait: f64,
    /// The id of the member that fills a miss.
    pub source: Option<Box<str>>,
    /// The rank at which the copy is kept; 0: not.
    pub keep: u8,
    /// The oldest copy that will do, ms; 0: the fresh time.
    pub age: f64,
    /// Join a fill that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// The parent keeps no copy.
    pub no_parent_copy: bool,
    /// Renew behind.
    pub renew: bool,
}

/// How a member answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Served.
    Ok,
    /// The client's copy is the one.
    Unchanged,
    /// A miss.
    Miss,
    /// Full.
    Full,
    /// An error; it may have run.
    Error,
    /// The request was over already.
    Over,
    /// A probe found the process well, or not.
    Alive(bool),
}

/// What an answer tells of the copy that it is from.
#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    /// The Unix millisecond at which the origin gave it out.
    pub issued: Option<f64>,
    /// Its tag.
    pub tag: Box<str>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// What it answers: a request's id or a probe's tag.
    pub id: Box<str>,
    /// The answer.
    pub word: Word,
    /// Names and values of a load report.
    pub report: Vec<(Box<str>, f64)>,
    /// The copy, of one that was served.
    pub copy: Option<Copy>,
    /// The body.
    pub body: Bytes,
}

/// Finds the answers in a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Where the next line or string starts, and how far that line was searched for its end.
    at: usize,
    searched: usize,
    /// Strings still to come; 0 between messages.
    left: usize,
    /// Length of the string that starts at `at`, once its line was read.
    length: Option<usize>,
    strings: Vec<Range<usize>>,
}

/// Digits in a length, with room to spare.
const LINE: usize = 16;

impl Decoder {
    /// Takes the next answer off the buffer, if it is there whole.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Reply>, &'static str> {
        loop {
            if let Some(length) = self.length {
                let end = self.at + length;
                if buffer.len() < end + 2 {
                    return Ok(None);
                }
                if &buffer[end..end + 2] != b"\r\n" {
                    return Err("a string without its end");
                }
                self.strings.push(self.at..end);
                (self.at, self.searched, self.length) = (end + 2, end + 2, None);
                self.left -= 1;
                if self.left == 0 {
                    let whole = buffer.split_to(self.at).freeze();
                    let strings = std::mem::take(self).strings;
                    return reply(&whole, &strings).map(Some);
                }
                continue;
            }
            let from = self.searched.max(self.at);
            let Some(end) = buffer[from..].windows(2).position(|w| w == b"\r\n").map(|i| from + i) else {
                // The last byte may be half of a line's end.
                self.searched = buffer.len().saturating_sub(1).max(self.at);
                return if buffer.len() - self.at > LINE { Err("no length") } else { Ok(None) };
            };
            let line = &buffer[self.at..end];
            let first = line.first().copied();
            let number = line.get(1..).and_then(|digits| std::str::from_utf8(digits).ok());
            let number = number.filter(|n| n.bytes().all(|b| b.is_ascii_digit()) && n.len() < LINE);
            let number: usize = number.and_then(|n| n.parse().ok()).ok_or("no length")?;
            (self.at, self.searched) = (end + 2, end + 2);
            match (self.left, first) {
                (0, Some(b'*')) if (2..=limits::MEMBER_STRINGS).contains(&number) => self.left = number,
                (1.., Some(b'$')) => {
                    // Only the fourth string is a body.
                    let most = if self.strings.len() == 3 { limits::OBJECT } else { limits::MEMBER_TEXT };
                    if number > most {
                        return Err("a string over the limit");
                    }
                    self.length = Some(number);
                }
                _ => return Err("not an answer"),
            }
        }
    }

    /// Bytes that are missing at least.
    pub fn lacks(&self, have: usize) -> usize {
        self.length.map_or(0, |length| (self.at + length + 2).saturating_sub(have))
    }
}

fn reply(whole: &Bytes, strings: &[Range<usize>]) -> Result<Reply, &'static str> {
    let text = |at: usize| {
        strings.get(at).map_or(Ok(""), |r| std::str::from_utf8(&whole[r.clone()]).map_err(|_| "not a text"))
    };
    let id = text(0)?;
    let word = match text(1)? {
        "200" => Word::Ok,
        "304" => Word::Unchanged,
        "404" => Word::Miss,
        "503" => Word::Full,
        "500" => Word::Error,
        "504" => Word::Over,
        "alive" => Word::Alive(true),
        "dead" => Word::Alive(false),
        _ => return Err("an unknown word"),
    };
    // A small body would keep the whole buffer alive that it came in, many times its size.
    let body = strings.get(3).map_or(Bytes::new(), |r| match r.len() {
        0..limits::SMALL_BODY => Bytes::copy_from_slice(&whole[r.clone()]),
        _ => whole.slice(r.clone()),
    });
    if word == Word::Ok && strings.len() < 4 {
        return Err("an answer without its body");
    }
    let report = text(2)?.split(',').filter_map(|f| f.split_once('=')).filter(|(name, _)| *name == "rep");
    let values = report.flat_map(|(_, all)| all.split(';')).filter_map(|v| v.split_once(':'));
    let number = |v: &str| v.parse::<f64>().ok().filter(|x| x.is_finite());
    let report = values.filter_map(|(name, v)| number(v).map(|v| (name.into(), v))).collect();
    let served = matches!(word, Word::Ok | Word::Unchanged);
    let copy = if served { copy(text(2)?) } else { None };
    Ok(Reply { id: id.into(), word, report, copy, body })
}

fn copy(fields: &str) -> Option<Copy> {
    let field = |name| fields.split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name);
    let issued = field("issued").and_then(|(_, v)| v.parse::<f64>().ok()).filter(|at| at.is_finite());
    let tag = field("entity").map_or("", |(_, v)| v);
    (issued.is_some() || !tag.is_empty()).then(|| Copy { issued, tag: tag.into() })
}

/// Encodes an attempt: what comes before its body, its body, what comes after.
pub fn ask(call: &Call, orders: &Orders) -> [Bytes; 3] {
    let mut fields = format!("lane={},name={}", call.class, call.object.0);
    if let Some(part) = call.part {
        let _ = write!(fields, ",piece={part}");
    }
    let _ = write!(fields, ",ttl={:.0}", orders.wait.floor().max(1.0));
    if let Some(key) = &call.key {
        let _ = write!(fields, ",dedupe={key}");
    }
    if let Some(source) = &orders.source {
        let _ = write!(fields, ",miss={source}");
    }
    if orders.keep > 0 {
        let _ = write!(fields, ",prio={}", orders.keep);
    }
    if orders.age > 0.0 {
        // Rounded down: a copy must be no older. Less than one would be read as no bound at all.
        let _ = write!(fields, ",within={:.0}", orders.age.floor().max(1.0));
    }
    let how = [
        (orders.join, "merge"),
        (orders.held_only, "local"),
        (orders.no_parent_copy, "skip"),
        (orders.renew, "revalidate"),
    ];
    let how: Vec<&str> = how.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
    if !how.is_empty() {
        let _ = write!(fields, ",f={}", how.join("+"));
    }
    if let Some(have) = &call.have {
        let _ = write!(fields, ",mine={have}");
    }
    let mut head = String::with_capacity(fields.len() + 64);
    let _ = write!(head, "*4\r\n$3\r\nASK\r\n${}\r\n{}\r\n", call.name.len(), call.name);
    let _ = write!(head, "${}\r\n{fields}\r\n${}\r\n", fields.len(), call.body.len());
    [head.into(), call.body.clone(), Bytes::from_static(b"\r\n")]
}

/// Encodes a command of one word and one argument.
fn command(word: &str, argument: &str) -> Bytes {
    format!("*2\r\n${}\r\n{word}\r\n${}\r\n{argument}\r\n", word.len(), argument.len()).into()
}

/// Encodes that a request is given up.
pub fn quit(id: &str) -> Bytes {
    command("QUIT", id)
}

/// Encodes a probe.
pub fn probe(tag: &str) -> Bytes {
    command("INFO", tag)
}
