//! Clients that harm a gateway: floods, messages that stop half way or come in small pieces, answers that nobody reads.
//! What each does is drawn from a seed.

use crate::client::Client;
use crate::test_site::OBJECT;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a write may block while the gateway does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest body of a write.
static BODY: [u8; 48_000] = [7; 48_000];

/// What a hostile client does on one connection.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Small requests at full speed, for ever new objects.
    SmallRequests,
    /// Requests of ever new classes at full speed.
    UnknownClasses,
    /// Requests that are cancelled at once.
    Cancellations,
    /// Whole writes, and one that stops half way.
    HalfWrite,
    /// A write in small pieces.
    SlowWrite,
    /// A request with very many fields, which stops before its end.
    ManyFields,
    /// Many requests whose answers are not read.
    UnreadAnswers,
    /// Writes, much more data, and a close.
    MuchUnread,
    /// Bytes that are no message.
    Garbage,
    /// Nothing.
    Silence,
}

const ACTS: [Act; 10] = [
    Act::SmallRequests,
    Act::UnknownClasses,
    Act::Cancellations,
    Act::HalfWrite,
    Act::SlowWrite,
    Act::ManyFields,
    Act::UnreadAnswers,
    Act::MuchUnread,
    Act::Garbage,
    Act::Silence,
];

/// Reads and drops all answers.
fn drop_answers(mut stream: TcpStream) {
    thread::spawn(move || {
        let mut chunk = vec![0; 16 * 1024];
        while matches!(stream.read(&mut chunk), Ok(1..)) {}
    });
}

/// Sends what a function makes until a write fails or the time is over.
fn send_for(client: &mut Client, time: Duration, mut message: impl FnMut(&mut Client) -> Vec<u8>) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        let bytes: Vec<u8> = (0..50).flat_map(|_| message(client)).collect();
        if client.try_send(&bytes).is_err() {
            return;
        }
    }
}

fn read_request(client: &mut Client, rng: &mut Pcg64Mcg) -> Vec<u8> {
    let object = format!("{:016x}", rng.random_range(1u64 << 60..u64::MAX));
    client.encode_request("page", &[("lookup", &object)], &[]).1
}

fn write_request(client: &mut Client) -> Vec<u8> {
    client.encode_request("once", &[("lookup", OBJECT)], &BODY).1
}

/// Plays an act on a connection. Errors are expected: the gateway may close it at any time.
fn play(act: Act, client: &mut Client, rng: &mut Pcg64Mcg) {
    let short = Duration::from_millis(rng.random_range(20..400));
    match act {
        Act::SmallRequests => send_for(client, short, |client| read_request(client, rng)),
        Act::UnknownClasses => send_for(client, short, |client| {
            let class = format!("class{}", rng.random_range(0..u64::MAX));
            client.encode_request(&class, &[("lookup", OBJECT)], &[]).1
        }),
        Act::Cancellations => send_for(client, short, |client| {
            let (id, bytes) = client.encode_request("page", &[("lookup", OBJECT)], &[]);
            let id = u32::try_from(id).unwrap().to_be_bytes();
            [bytes, b"\x93\x02\xa5abort\x91\xce".to_vec(), id.to_vec()].concat()
        }),
        Act::HalfWrite => {
            let whole: Vec<u8> = (0..rng.random_range(0..4)).flat_map(|_| write_request(client)).collect();
            let half = write_request(client);
            let _ = client.try_send(&whole);
            let _ = client.try_send(&half[..rng.random_range(100..half.len())]);
            thread::sleep(short * 4);
        }
        Act::SlowWrite => {
            for piece in write_request(client).chunks(4000) {
                if client.try_send(piece).is_err() {
                    return;
                }
                thread::sleep(short / 8);
            }
        }
        Act::ManyFields => {
            let names: Vec<String> = (0..480).map(|number| format!("field{number}")).collect();
            let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "value")).collect();
            let bytes = client.encode_request("page", &fields, &[]).1;
            let _ = client.try_send(&bytes[..bytes.len() - 1]);
            thread::sleep(short * 4);
        }
        Act::UnreadAnswers => {
            let bytes: Vec<u8> = (0..32).flat_map(|_| read_request(client, rng)).collect();
            let _ = client.try_send(&bytes);
            thread::sleep(short * 4);
        }
        Act::MuchUnread => {
            let bytes: Vec<u8> = (0..4).flat_map(|_| write_request(client)).collect();
            let _ = client.try_send(&bytes);
            send_for(client, short / 4, |client| client.encode_request("ping", &[], &[]).1);
        }
        Act::Garbage => {
            let bytes: Vec<u8> = (0..rng.random_range(1..5000)).map(|_| rng.random()).collect();
            let _ = client.try_send(&bytes);
        }
        Act::Silence => thread::sleep(short * 4),
    }
}

/// Connects again and again, and plays an act each time.
fn run_client(gateway: SocketAddr, seed: u64, running: &AtomicBool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while running.load(Ordering::SeqCst) {
        let act = ACTS[rng.random_range(0..ACTS.len())];
        if TcpStream::connect(gateway).is_err() {
            return;
        }
        let mut client = Client::connect(gateway);
        let stream = client.stream_handle();
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        if !matches!(act, Act::UnreadAnswers) {
            drop_answers(client.stream_handle());
        }
        play(act, &mut client, &mut rng);
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Running hostile clients of one gateway.
pub struct HostileClients {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl HostileClients {
    /// Starts so many clients, each with a seed of its own.
    pub fn start(gateway: SocketAddr, clients: u32, seed: u64) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let start = |number| {
            let running = Arc::clone(&running);
            thread::spawn(move || run_client(gateway, seed << u32::BITS | u64::from(number), &running))
        };
        let threads = (0..clients).map(start).collect();
        HostileClients { running, threads }
    }

    /// Waits until each has ended what it does.
    pub fn finish(self) {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}
