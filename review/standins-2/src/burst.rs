//! Clients that send many requests at once, at full speed, and read whatever they are sent.

use crate::client::{Request, encode};
use crate::now_ms;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// What one of them saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub bytes_sent: usize,
    pub bytes_read: usize,
}

/// Starts so many clients; each sends `requests` requests, which `request` makes from the numbers of client and request,
/// and then reads for so many ms.
pub fn start(
    to: SocketAddr,
    clients: usize,
    requests: u32,
    read_ms: f64,
    request: impl Fn(u64, u32) -> Request + Send + Sync + 'static,
) -> Vec<JoinHandle<Outcome>> {
    let request = Arc::new(request);
    let one = move |number: u64| {
        let request = Arc::clone(&request);
        std::thread::spawn(move || {
            let mut bytes = Vec::new();
            for id in 1..=requests {
                bytes.extend(encode(id, &request(number, id)).0);
            }
            run(to, &bytes, read_ms).unwrap_or_default()
        })
    };
    (0..clients as u64).map(one).collect()
}

fn run(to: SocketAddr, bytes: &[u8], read_ms: f64) -> std::io::Result<Outcome> {
    let stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    let mut reader = stream.try_clone()?;
    reader.set_read_timeout(Some(Duration::from_millis(100)))?;
    let until = now_ms() + read_ms;
    let reading = std::thread::spawn(move || {
        let (mut chunk, mut total) = (vec![0; 65536], 0);
        while now_ms() < until {
            match reader.read(&mut chunk) {
                Ok(0) => break,
                Ok(read) => total += read,
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        total
    });
    let written = (&stream).write_all(bytes).is_ok();
    let bytes_read = reading.join().unwrap_or_default();
    Ok(Outcome { bytes_sent: if written { bytes.len() } else { 0 }, bytes_read })
}
