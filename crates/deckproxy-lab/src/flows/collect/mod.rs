//! `decklab flows collect`: receives what exporters send and stores readable records.

mod exporters;
mod store;

use crate::error::LabError;
use crate::output::print_line;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use store::{Counts, Store};

/// What is collected.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// Where exporters send to, over TCP and UDP.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:4739")]
    listen: SocketAddr,
    /// The folder for the records: a file for each hour.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Seconds after which to end; without it, Ctrl-C ends.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
    /// MB that the folder may take; the oldest files are removed beyond it.
    #[arg(long, value_name = "MB", default_value_t = 1024)]
    keep: u64,
}

/// Connections of exporters at a time.
const MAX_CONNECTIONS: usize = 64;
/// Time between two lines with the counts.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two looks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(20);

/// Collects until the time is over.
///
/// # Errors
///
/// The folder or the sockets cannot be opened, or a record cannot be stored.
pub fn run(options: &Options) -> Result<(), LabError> {
    fs::create_dir_all(&options.out).map_err(LabError::file(&options.out))?;
    let (listener, socket) = listen(options.listen)?;
    print_line!("collecting on {} over TCP and UDP into {}", options.listen, options.out.display());
    let store = Arc::new(Mutex::new(Store::new(options.out.clone(), options.keep)));
    let udp_store = store.clone();
    thread::spawn(move || exporters::read_datagrams(&socket, &udp_store));
    let open = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let mut last_shown = Instant::now();
    loop {
        accept(&listener, &store, &open);
        let is_over = options.seconds.is_some_and(|s| start.elapsed() >= Duration::from_secs(s));
        let counts = check(&store)?;
        if is_over || last_shown.elapsed() > COUNTS_INTERVAL {
            last_shown = Instant::now();
            print(counts);
        }
        if is_over {
            return Ok(());
        }
    }
}

/// Opens the sockets for exporters over TCP and UDP.
fn listen(address: SocketAddr) -> Result<(TcpListener, UdpSocket), LabError> {
    let socket_error = |protocol| move |source| LabError::Socket { protocol, source };
    let listener = TcpListener::bind(address).map_err(socket_error("TCP"))?;
    let socket = UdpSocket::bind(address).map_err(socket_error("UDP"))?;
    listener.set_nonblocking(true).map_err(socket_error("TCP"))?;
    Ok((listener, socket))
}

/// Accepts one connection if there is one, and reads it on a thread of its own.
fn accept(listener: &TcpListener, store: &Arc<Mutex<Store>>, open: &Arc<AtomicUsize>) {
    let Ok((stream, peer)) = listener.accept() else {
        thread::sleep(ACCEPT_INTERVAL);
        return;
    };
    if open.load(Ordering::SeqCst) >= MAX_CONNECTIONS {
        eprintln!("{peer}: rejected, {MAX_CONNECTIONS} connections are open");
        return;
    }
    open.fetch_add(1, Ordering::SeqCst);
    let (store, open) = (store.clone(), open.clone());
    thread::spawn(move || {
        if let Err(error) = exporters::read_connection(stream, peer, &store) {
            eprintln!("{peer}: {error}");
        }
        open.fetch_sub(1, Ordering::SeqCst);
    });
}

/// Writes out what was stored, and gives the counts so far.
fn check(store: &Mutex<Store>) -> Result<Counts, LabError> {
    let mut store = store.lock().map_err(|_| LabError::Thread { job: "reading from exporters" })?;
    store.flush()?;
    Ok(store.counts())
}

fn print(counts: Counts) {
    let Counts { messages, records, missing, unknown_sets, errors } = counts;
    print_line!(
        "{messages} messages, {records} records, {missing} missing by sequence number, {unknown_sets} sets without a \
         template, {errors} messages with an error"
    );
}
