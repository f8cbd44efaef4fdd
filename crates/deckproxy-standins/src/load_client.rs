//! Clients that run by themselves: each has a connection, sends requests at the times that its seed gives (open loop: a
//! slow answer delays no later request), retries by its policy, and reconnects when it is cut off.

mod message;
mod session;

pub use message::{encode_request, read_outcome};

use crate::record::Record;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use session::run_session;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between the end of a connection and the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// A request to be made.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec {
    /// Its class.
    pub class: &'static str,
    /// The number of the object that it is for.
    pub object: u64,
    /// The object's purge group.
    pub group: u32,
    /// The site whose origin has the object.
    pub home_site: u32,
    /// The time it has, ms.
    pub timeout_ms: u32,
}

/// Draws the next request.
pub type RequestGenerator = Arc<dyn Fn(&mut Pcg64Mcg) -> RequestSpec + Send + Sync>;

/// What a client does when its request is rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It gives up.
    #[default]
    Never,
    /// It retries after the advised time (Retry-After), while the request's time lasts.
    AfterAdvice,
    /// It retries at once, while the request's time lasts.
    Immediate,
}

/// A load to be started.
#[derive(Clone)]
pub struct Load {
    /// The clients' site.
    pub site: u32,
    /// Where they connect.
    pub gateway: SocketAddr,
    /// Number of clients.
    pub clients: usize,
    /// Requests a second of all clients together.
    pub rate: f64,
    /// Seed of the requests and their times.
    pub seed: u64,
    /// What they request.
    pub generator: RequestGenerator,
    /// What they do when a request is rejected.
    pub retry_policy: RetryPolicy,
    /// The first client's address, the others' follow; `None` for the system's choice.
    pub first_address: Option<Ipv4Addr>,
    /// Share (0 to 1) of the connections that a client closes in the middle of an answer.
    pub disconnect_share: f64,
}

impl Load {
    /// A load of clients that neither retry nor disconnect.
    pub fn new(
        site: u32,
        gateway: SocketAddr,
        clients: usize,
        rate: f64,
        seed: u64,
        generator: &RequestGenerator,
    ) -> Self {
        Load {
            site,
            gateway,
            clients,
            rate,
            seed,
            generator: generator.clone(),
            retry_policy: RetryPolicy::Never,
            first_address: None,
            disconnect_share: 0.0,
        }
    }

    fn connect(&self, client: usize) -> std::io::Result<TcpStream> {
        let Some(first) = self.first_address else { return TcpStream::connect(self.gateway) };
        let offset = u32::try_from(client).unwrap_or(u32::MAX);
        let address = Ipv4Addr::from(u32::from(first) + offset);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        if self.disconnect_share > 0.0 {
            // With a small buffer the bytes written to it differ little from those it has read.
            socket.set_recv_buffer_size(8 * 1024)?;
        }
        socket.bind(&SocketAddr::from((address, 0)).into())?;
        socket.connect(&self.gateway.into())?;
        Ok(socket.into())
    }

    /// The random numbers of one client.
    fn random(&self, client: usize) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed ^ (client as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// Running clients of one gateway.
pub struct LoadClients {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl LoadClients {
    /// Starts a load.
    pub fn start(load: &Load, record: &Record) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let threads = (0..load.clients).map(|client| {
            let (running, load, record) = (running.clone(), load.clone(), record.clone());
            let mut random = load.random(client);
            thread::spawn(move || {
                while running.load(Ordering::SeqCst) {
                    if let Ok(stream) = load.connect(client) {
                        run_session(&load, &stream, &mut random, &record, &running);
                    }
                    thread::sleep(RECONNECT_DELAY);
                }
            })
        });
        let threads = threads.collect();
        LoadClients { running, threads }
    }

    /// Sends nothing more, waits for the answers in flight, and ends.
    pub fn finish(self) {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}
