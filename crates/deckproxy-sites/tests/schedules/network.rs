//! The simulated network between two sites: connections that delay frames, lose them and break.

use deckproxy_sites::frame::Frame;
use std::collections::{BTreeMap, VecDeque};

/// Time until the other end detects a close, ms.
pub const CLOSE_DELAY: f64 = 10.0;
/// Time until the second end detects a reset, ms.
const RESET_DELAY: f64 = 30.0;
/// Time until the other end detects that a process was killed, ms.
const KILL_DELAY: f64 = 1.0;

/// One direction of a connection: frames in order, each with its arrival time.
#[derive(Default)]
pub struct Direction {
    pub frames: VecDeque<(f64, Frame)>,
    /// When the close arrives; frames written before it arrive first.
    pub closes_at: Option<f64>,
}

pub struct Connection {
    /// The index of the site at each end, starting with the site that opened the connection.
    pub ends: [usize; 2],
    pub directions: [Direction; 2],
    /// Whether each end still considers the connection open.
    pub is_open: [bool; 2],
    /// Whether no frames are delivered, without either end being notified of it.
    pub is_silent: bool,
}

impl Connection {
    pub fn new(from: usize, to: usize) -> Self {
        let directions = Default::default();
        Connection { ends: [from, to], directions, is_open: [true, true], is_silent: false }
    }

    /// The index of a site's end.
    pub fn end_of(&self, site: usize) -> usize {
        usize::from(self.ends[0] != site)
    }
}

/// An arrival at the receiving end of one direction.
pub enum Arrival {
    Frame(Box<Frame>),
    /// The other end's close.
    End,
}

/// All connections between the two sites.
#[derive(Default)]
pub struct Network {
    pub connections: BTreeMap<u64, Connection>,
    /// Time until which no connection can be opened.
    pub partitioned_until: f64,
}

impl Network {
    pub fn connection_ids(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }

    /// Writes a frame at one end, to arrive after a delay, in order.
    pub fn write(&mut self, now: f64, site: usize, id: u64, frame: Frame, delay: f64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let end = connection.end_of(site);
        let direction = &mut connection.directions[end];
        if connection.is_open[end] && direction.closes_at.is_none() {
            let last = direction.frames.back().map_or(0.0, |(arrives_at, _)| *arrives_at);
            direction.frames.push_back(((now + delay).max(last), frame));
        }
    }

    /// Closes one end.
    pub fn close(&mut self, now: f64, site: usize, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let end = connection.end_of(site);
            connection.is_open[end] = false;
            connection.directions[end].closes_at = Some(now + CLOSE_DELAY);
        }
    }

    /// Removes and returns the next arrival of the direction that starts at the given end.
    pub fn next_arrival(&mut self, now: f64, id: u64, end: usize) -> Option<Arrival> {
        let connection = self.connections.get_mut(&id).filter(|connection| !connection.is_silent)?;
        let direction = &mut connection.directions[end];
        if direction.frames.front().is_some_and(|(arrives_at, _)| *arrives_at <= now) {
            return direction.frames.pop_front().map(|(_, frame)| Arrival::Frame(Box::new(frame)));
        }
        let is_over = direction.frames.is_empty() && direction.closes_at.is_some_and(|at| at <= now);
        if is_over && connection.is_open[1 - end] {
            connection.is_open[1 - end] = false;
            return Some(Arrival::End);
        }
        None
    }

    /// Removes a connection that both sites consider closed.
    pub fn remove_if_closed(&mut self, id: u64) {
        if self.connections.get(&id).is_some_and(|connection| connection.is_open == [false, false]) {
            self.connections.remove(&id);
        }
    }

    /// Resets a connection: frames in flight are lost, and one end detects it later than the other.
    pub fn reset(&mut self, now: f64, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        for (direction, delay) in connection.directions.iter_mut().zip([0.0, RESET_DELAY]) {
            direction.frames.clear();
            direction.closes_at = Some(now + delay);
        }
        connection.is_silent = false;
    }

    /// Ends the connection at once for the end that opened it; the frames that this end wrote still arrive at the other
    /// end, at the given time or later.
    pub fn abandon(&mut self, now: f64, id: u64, arrives_at: f64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let [to_server, to_client] = &mut connection.directions;
        to_client.frames.clear();
        to_client.closes_at = Some(now);
        for (frame_arrives_at, _) in &mut to_server.frames {
            *frame_arrives_at = frame_arrives_at.max(arrives_at);
        }
        to_server.closes_at = Some(arrives_at);
    }

    /// Closes a site's end of all connections, as if its process was killed.
    pub fn kill_ends_of(&mut self, now: f64, site: usize) {
        for connection in self.connections.values_mut() {
            let end = connection.end_of(site);
            connection.is_open[end] = false;
            connection.directions[end].closes_at = Some(now + KILL_DELAY);
            connection.directions[1 - end].frames.clear();
        }
    }
}
