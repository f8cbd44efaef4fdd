//! A client that a test drives by hand: it sends requests one by one and checks the answers.

use crate::wait::{PATIENCE, QUIET, next_number};
use rmpv::Value;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The fields of an answer.
pub type Fields = BTreeMap<String, String>;

/// How a request was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// With a body and fields.
    Served(Vec<u8>, Fields),
    /// With an error's word (such as `Shed`) and fields.
    Error(String, Fields),
    /// A ping, with whether the gateway is ready.
    Ready(bool),
}

/// A connection of a client. Its methods panic when the connection fails, unless they return the error.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    next_id: u64,
    /// Bytes written so far.
    pub bytes_written: u64,
    /// Bytes read so far.
    pub bytes_read: u64,
}

/// A request name that no other request has.
pub fn fresh_name() -> String {
    format!("{:016x}", 0xabc0_0000_0000_0000 + next_number())
}

/// What it sends.
impl Client {
    /// Connects to a gateway.
    ///
    /// # Panics
    /// If it can't connect.
    pub fn connect(gateway: SocketAddr) -> Self {
        let stream = TcpStream::connect(gateway).unwrap();
        stream.set_nodelay(true).unwrap();
        Client { stream, buffer: Vec::new(), next_id: 1, bytes_written: 0, bytes_read: 0 }
    }

    /// Sends bytes.
    ///
    /// # Panics
    /// Panics if the connection cannot be written to.
    pub fn send(&mut self, bytes: &[u8]) {
        self.bytes_written += bytes.len() as u64;
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends bytes on a connection that may have been closed; they are not counted.
    ///
    /// # Errors
    /// If they can't be written.
    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends any message.
    pub fn send_value(&mut self, value: &Value) {
        self.send(&encode(value));
    }

    /// Encodes a request with the next id; returns the id and the bytes.
    pub fn encode_request(&mut self, class: &str, fields: &[(&str, &str)], body: &[u8]) -> (u64, Vec<u8>) {
        let id = self.take_id();
        let mut all: Vec<(String, String)> =
            vec![("ref".into(), fresh_name()), ("allow".into(), "1200".into()), ("room".into(), "10".into())];
        all.extend(fields.iter().map(|(name, value)| ((*name).to_string(), (*value).to_string())));
        let map = all.into_iter().map(|(name, value)| (Value::from(name), Value::from(value))).collect();
        let parameters = Value::Array(vec![Value::Map(map), Value::Binary(body.to_vec())]);
        (id, encode(&Value::Array(vec![0.into(), id.into(), class.into(), parameters])))
    }

    /// Sends a request; returns its id.
    pub fn send_request(&mut self, class: &str, fields: &[(&str, &str)], body: &[u8]) -> u64 {
        let (id, bytes) = self.encode_request(class, fields, body);
        self.send(&bytes);
        id
    }

    /// Requests an object; returns the request's id.
    pub fn request_object(&mut self, object: &str) -> u64 {
        self.send_request("page", &[("lookup", object)], &[])
    }

    /// Sends a ping; returns its id.
    pub fn ping(&mut self) -> u64 {
        let id = self.take_id();
        let parameters = Value::Array(vec![Value::Map(Vec::new())]);
        self.send_value(&Value::Array(vec![0.into(), id.into(), "ping".into(), parameters]));
        id
    }

    /// Cancels a request.
    pub fn cancel(&mut self, id: u64) {
        self.send_value(&cancellation(id));
    }

    /// Cancels a request on a connection that may have been closed.
    ///
    /// # Errors
    /// If the message can't be written.
    pub fn try_cancel(&mut self, id: u64) -> std::io::Result<()> {
        self.try_send(&encode(&cancellation(id)))
    }

    /// Closes its sending side.
    ///
    /// # Panics
    /// Panics if the connection is no longer open.
    pub fn half_close(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Another handle of its connection, for another thread.
    ///
    /// # Panics
    /// Panics if the process has no descriptor left.
    pub fn stream_handle(&self) -> TcpStream {
        self.stream.try_clone().unwrap()
    }

    fn take_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}

/// What it expects.
impl Client {
    /// The next answer, with the id of the request that it answers.
    ///
    /// # Panics
    /// If none comes in time.
    pub fn next_answer(&mut self) -> (u64, Answer) {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(answer) = self.take_answer() {
                return answer;
            }
            let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let n = self.read_some(left);
            assert!(n.is_some_and(|n| n > 0), "no answer came: {n:?}");
        }
    }

    /// Expects that the next answer serves this request with this body.
    ///
    /// # Panics
    /// If it does not.
    pub fn expect_served(&mut self, id: u64, body: &[u8]) {
        let (answered, answer) = self.next_answer();
        assert_eq!(answered, id);
        assert!(matches!(&answer, Answer::Served(served, _) if served == body), "{answer:?}");
    }

    /// Expects that the next answer is an error of that word to this request; returns its fields.
    ///
    /// # Panics
    /// If it is not.
    pub fn expect_error(&mut self, id: u64, word: &str) -> Fields {
        match self.next_answer() {
            (answered, Answer::Error(received, fields)) if answered == id && received == word => fields,
            other => panic!("expected {word} to {id}, got {other:?}"),
        }
    }

    /// Sends a ping and expects that the gateway answers that it is ready. All that was sent before has been read then.
    ///
    /// # Panics
    /// If it does not.
    pub fn expect_ready(&mut self) {
        let id = self.ping();
        assert_eq!(self.next_answer(), (id, Answer::Ready(true)));
    }

    /// Expects that nothing comes for a short while, and that the connection stays open.
    ///
    /// # Panics
    /// If anything comes.
    pub fn expect_silence(&mut self) {
        assert_eq!(self.read_some(QUIET), None, "something came, or the connection ended");
    }

    /// Expects that the gateway closes the connection without a reset, which could discard what it wrote.
    ///
    /// # Panics
    /// If it does not, in time.
    pub fn expect_clean_close(&mut self) {
        let ended = self.read_to_end();
        assert!(ended.is_ok(), "{ended:?}");
    }

    /// Expects that the gateway closes or resets the connection.
    ///
    /// # Panics
    /// If it does not, in time.
    pub fn expect_closed(&mut self) {
        if let Err(error) = self.read_to_end() {
            assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        }
    }

    fn read_to_end(&mut self) -> std::io::Result<usize> {
        self.stream.set_read_timeout(Some(PATIENCE)).unwrap();
        self.stream.read_to_end(&mut Vec::new())
    }

    /// Reads once; returns the bytes read, 0 at the connection's end, `None` at an error or when none come in time.
    fn read_some(&mut self, timeout: Duration) -> Option<usize> {
        self.stream.set_read_timeout(Some(timeout)).unwrap();
        let mut chunk = [0; 65536];
        let n = self.stream.read(&mut chunk).ok()?;
        self.buffer.extend_from_slice(&chunk[..n]);
        self.bytes_read += n as u64;
        Some(n)
    }

    /// Takes a complete answer off the buffer.
    fn take_answer(&mut self) -> Option<(u64, Answer)> {
        let mut rest = &self.buffer[..];
        let value = rmpv::decode::read_value(&mut rest).ok()?;
        let used = self.buffer.len() - rest.len();
        self.buffer.drain(..used);
        let parts = value.as_array().unwrap();
        assert_eq!((parts.len(), &parts[0]), (4, &Value::from(1)));
        let id = parts[1].as_u64().unwrap();
        let answer = match (&parts[2], &parts[3]) {
            (Value::Nil, Value::Array(result)) => match &result[0] {
                Value::Boolean(ready) => Answer::Ready(*ready),
                body => Answer::Served(body.as_slice().unwrap().to_vec(), fields_of(&result[1])),
            },
            (Value::Array(error), Value::Nil) => {
                Answer::Error(error[0].as_str().unwrap().to_string(), fields_of(&error[1]))
            }
            other => panic!("an answer that can't be read: {other:?}"),
        };
        Some((id, answer))
    }
}

fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).unwrap();
    bytes
}

fn cancellation(id: u64) -> Value {
    Value::Array(vec![2.into(), "abort".into(), Value::Array(vec![id.into()])])
}

fn fields_of(value: &Value) -> Fields {
    let text = |value: &Value| value.as_str().unwrap().to_string();
    value.as_map().unwrap().iter().map(|(name, value)| (text(name), text(value))).collect()
}
