//! Messages of exporters over TCP and UDP, decoded for the store.

use super::store::Store;
use crate::flows::time;
use deckproxy_flow::codec::{DecodeError, Decoder, Limits, MessageSplitter};
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Mutex;
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// Exporters over UDP that are remembered with their templates.
const MAX_UDP_EXPORTERS: usize = 1024;
/// How long a connection may be silent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(900);
/// Milliseconds after which a template that was not sent again over UDP is forgotten: three of the usual refreshes.
const TEMPLATE_LIFETIME_MS: u64 = 1_800_000;
/// Bytes read from a connection at a time.
const CHUNK_SIZE: usize = 64 * 1024;
/// No datagram is larger.
const MAX_DATAGRAM_SIZE: usize = 65_536;

/// Why the collector closed a connection.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// Nothing was received for [`IDLE_TIMEOUT`].
    #[error("closed: silent for {} s", IDLE_TIMEOUT.as_secs())]
    Idle,
    /// The bytes are not IPFIX: it is unknown where the next message begins (RFC 7011, 10.4).
    #[error("closed: not an IPFIX message ({0})")]
    NotIpfix(#[from] DecodeError),
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// An exporter over UDP.
struct UdpExporter {
    decoder: Decoder,
    /// When it last sent, Unix ms.
    last_seen: u64,
}

fn now_ms() -> u64 {
    time::unix_ms(SystemTime::now())
}

/// Reads datagrams forever. Exporters are distinguished by address and port (RFC 7011, 10.3); the one that was silent for
/// longest is forgotten where there are too many.
pub fn read_datagrams(socket: &UdpSocket, store: &Mutex<Store>) {
    let limits = Limits { template_lifetime: TEMPLATE_LIFETIME_MS, ..Limits::default() };
    let mut exporters: HashMap<SocketAddr, UdpExporter> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_SIZE];
    loop {
        let Ok((size, peer)) = socket.recv_from(&mut buffer) else { continue };
        let now = now_ms();
        if !exporters.contains_key(&peer) && exporters.len() >= MAX_UDP_EXPORTERS {
            forget_oldest(&mut exporters);
        }
        let exporter = exporters
            .entry(peer)
            .or_insert_with(|| UdpExporter { decoder: Decoder::new(limits), last_seen: now });
        exporter.last_seen = now;
        let message = exporter.decoder.decode(now, &bytes::Bytes::copy_from_slice(&buffer[..size]));
        if let Ok(mut store) = store.lock() {
            store.add(peer.ip(), &message);
        }
    }
}

fn forget_oldest(exporters: &mut HashMap<SocketAddr, UdpExporter>) {
    let oldest = exporters.iter().min_by_key(|(_, exporter)| exporter.last_seen).map(|(peer, _)| *peer);
    if let Some(peer) = oldest {
        exporters.remove(&peer);
    }
}

/// Reads a connection until the exporter ends it.
///
/// # Errors
///
/// The collector ends it.
pub fn read_connection(
    mut stream: TcpStream,
    peer: SocketAddr,
    store: &Mutex<Store>,
) -> Result<(), ConnectionError> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    let mut decoder = Decoder::new(Limits::default());
    let mut splitter = MessageSplitter::default();
    let mut shown_errors = HashSet::new();
    let mut chunk = vec![0; CHUNK_SIZE];
    loop {
        let size = read(&mut stream, &mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        splitter.push(&chunk[..size]);
        while let Some(message) = splitter.next_message()? {
            let message = decoder.decode(now_ms(), &message);
            // Each kind of error is shown once a connection.
            if let Some(error) = message.error
                && shown_errors.insert(error.to_string())
            {
                eprintln!("{peer}: cannot read all of a message: {error}");
            }
            if let Ok(mut store) = store.lock() {
                store.add(peer.ip(), &message);
            }
        }
    }
}

/// Reads what there is, at least a byte; 0 at the end of the stream.
fn read(stream: &mut TcpStream, chunk: &mut [u8]) -> Result<usize, ConnectionError> {
    loop {
        return match stream.read(chunk) {
            Ok(size) => Ok(size),
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(ConnectionError::Idle)
            }
            Err(error) => Err(error.into()),
        };
    }
}
