//! `decklab flows collect`: takes what exporters send and stores readable records.

use super::record::{Record, files};
use crate::error::LabError;
use crate::output::print_line;
use deckproxy_flow::codec::{DecodedMessage, DecodedRecord, Decoder, Limits, MessageSplitter};
use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What is collected.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// Where exporters send to, over TCP and UDP.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:4739")]
    listen: SocketAddr,
    /// The folder for the records: a file for each hour.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// End after so many seconds; else with Ctrl-C.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
    /// MB that the folder may take; the oldest files are removed beyond it.
    #[arg(long, value_name = "MB", default_value_t = 1024)]
    keep: u64,
}

/// Connections at a time, exporters over UDP that are remembered, and how long a connection may be silent.
const CONNECTIONS: usize = 64;
const EXPORTERS: usize = 1024;
const SILENCE: Duration = Duration::from_secs(900);
/// Milliseconds after which a template that was not told again over UDP is forgotten: three of the usual refreshes.
const TEMPLATE_LIFETIME: u64 = 1_800_000;
const HOUR: u64 = 3_600_000;

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Counts of what came.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    messages: u64,
    records: u64,
    missing: u64,
    unknown: u64,
    faults: u64,
}

/// The files.
struct Store {
    folder: PathBuf,
    keep: u64,
    open: Option<(u64, BufWriter<File>)>,
    counts: Counts,
    /// The first thing that could not be written.
    failed: Option<String>,
}

impl Store {
    fn take(&mut self, exporter: IpAddr, collected: &DecodedMessage) {
        let c = &mut self.counts;
        c.messages += 1;
        c.missing += u64::from(collected.missing);
        c.unknown += collected.unknown_sets as u64;
        c.faults += u64::from(collected.error.is_some());
        for DecodedRecord { scope, values } in &collected.records {
            let Some(record) = Record::read(exporter, collected.domain, *scope, values) else { continue };
            self.counts.records += 1;
            if let Err(e) = self.write(&record) {
                self.failed.get_or_insert_with(|| format!("{}: {e}", self.folder.display()));
            }
        }
    }

    fn write(&mut self, record: &Record) -> io::Result<()> {
        let hour = unix() / HOUR;
        if self.open.as_ref().is_none_or(|(open, _)| *open != hour) {
            self.open = None;
            self.make_room()?;
            let path = self.folder.join(format!("flows-{hour:08}.jsonl"));
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open = Some((hour, BufWriter::new(file)));
        }
        let Some((_, file)) = &mut self.open else { return Ok(()) };
        serde_json::to_writer(&mut *file, record)?;
        file.write_all(b"\n")
    }

    fn flush(&mut self) {
        if let Some((_, file)) = &mut self.open
            && let Err(e) = file.flush()
        {
            self.failed.get_or_insert_with(|| format!("{}: {e}", self.folder.display()));
        }
    }

    /// Removes the oldest files beyond what is kept.
    fn make_room(&self) -> io::Result<()> {
        let files = files(&self.folder).map_err(io::Error::other)?;
        let size = |path: &Path| fs::metadata(path).map_or(0, |m| m.len());
        let mut sum: u64 = files.iter().map(|f| size(f)).sum();
        for path in files {
            if sum <= self.keep.saturating_mul(1_000_000) {
                break;
            }
            sum -= size(&path);
            fs::remove_file(&path)?;
            eprintln!("removed {}: over {} MB were kept", path.display(), self.keep);
        }
        Ok(())
    }
}

/// Collects.
pub fn run(options: &Options) -> Result<(), LabError> {
    let socket_error = |protocol| move |source| LabError::Socket { protocol, source };
    fs::create_dir_all(&options.out).map_err(LabError::file(&options.out))?;
    let listener = TcpListener::bind(options.listen).map_err(socket_error("TCP"))?;
    let socket = UdpSocket::bind(options.listen).map_err(socket_error("UDP"))?;
    listener.set_nonblocking(true).map_err(socket_error("TCP"))?;
    print_line!("collecting on {} over TCP and UDP into {}", options.listen, options.out.display());
    let store = Arc::new(Mutex::new(Store {
        folder: options.out.clone(),
        keep: options.keep,
        open: None,
        counts: Counts::default(),
        failed: None,
    }));
    let copy = store.clone();
    thread::spawn(move || datagrams(&socket, &copy));
    let open = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let mut told = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, peer)) if open.load(Ordering::SeqCst) < CONNECTIONS => {
                open.fetch_add(1, Ordering::SeqCst);
                let (store, open) = (store.clone(), open.clone());
                thread::spawn(move || {
                    if let Err(why) = connection(stream, peer, &store) {
                        eprintln!("{peer}: {why}");
                    }
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
            Ok((_, peer)) => eprintln!("{peer}: turned away, {CONNECTIONS} connections are open"),
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
        let ended = options.seconds.is_some_and(|s| start.elapsed() >= Duration::from_secs(s));
        let mut store = store.lock().map_err(|_| LabError::Thread { job: "reading from exporters" })?;
        store.flush();
        if let Some(why) = &store.failed {
            return Err(LabError::output("records can't be stored", why));
        }
        if ended || told.elapsed() > Duration::from_secs(10) {
            told = Instant::now();
            let Counts { messages, records, missing, unknown, faults } = store.counts;
            print_line!(
                "{messages} messages, {records} records, {missing} missing by their numbers, {unknown} sets without a \
                 template, {faults} messages that could not be read"
            );
        }
        if ended {
            return Ok(());
        }
    }
}

fn datagrams(socket: &UdpSocket, store: &Mutex<Store>) {
    let limits = Limits { template_lifetime: TEMPLATE_LIFETIME, ..Limits::default() };
    // By the exporter's address and port (RFC 7011, 10.3); the one that was silent for longest makes room.
    let mut known: HashMap<SocketAddr, (Decoder, u64)> = HashMap::new();
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((n, peer)) = socket.recv_from(&mut buffer) else { continue };
        let now = unix();
        if !known.contains_key(&peer) && known.len() >= EXPORTERS {
            let oldest = known.iter().min_by_key(|(_, (_, at))| *at).map(|(peer, _)| *peer);
            oldest.map(|peer| known.remove(&peer));
        }
        let (decoder, at) = known.entry(peer).or_insert_with(|| (Decoder::new(limits), now));
        *at = now;
        let collected = decoder.decode(now, &bytes::Bytes::copy_from_slice(&buffer[..n]));
        if let Ok(mut store) = store.lock() {
            store.take(peer.ip(), &collected);
        }
    }
}

/// Reads one connection until it ends; the error tells why it was ended here.
fn connection(mut stream: TcpStream, peer: SocketAddr, store: &Mutex<Store>) -> Result<(), String> {
    stream.set_nonblocking(false).map_err(|e| e.to_string())?;
    stream.set_read_timeout(Some(SILENCE)).map_err(|e| e.to_string())?;
    let (mut decoder, mut splitter) = (Decoder::new(Limits::default()), MessageSplitter::default());
    let mut chunk = vec![0; 64 * 1024];
    let mut faults = BTreeMap::<String, u64>::new();
    loop {
        let n = match stream.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(format!("silent for {} s", SILENCE.as_secs()));
            }
            Err(e) => return Err(e.to_string()),
        };
        splitter.push(&chunk[..n]);
        loop {
            match splitter.next_message() {
                Ok(None) => break,
                Ok(Some(message)) => {
                    let collected = decoder.decode(unix(), &message);
                    if let Some(error) = collected.error {
                        let count = faults.entry(format!("{error}")).or_default();
                        *count += 1;
                        if *count == 1 {
                            eprintln!("{peer}: a message that can't be read whole: {error}");
                        }
                    }
                    if let Ok(mut store) = store.lock() {
                        store.take(peer.ip(), &collected);
                    }
                }
                // RFC 7011, 10.4: where messages begin can't be told any more.
                Err(error) => return Err(format!("closed: no IPFIX message ({error})")),
            }
        }
    }
}
