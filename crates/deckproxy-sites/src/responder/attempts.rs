//! Attempts: accepting, executing, resuming and discarding them.

use super::session::{Attempt, AttemptProgress, RetainedResponse};
use super::types::{Effect, RunId, RunResult};
use super::{AttemptKey, Responder};
use crate::frame::{AttemptState, AttemptStatus, Outcome, Payload, Request};
use crate::{ConnectionId, Millis};

/// Most attempts kept per session; a well-behaved requesting side has fewer open.
const MAX_ATTEMPTS: usize = 1 << 20;

impl Responder {
    /// Accepts an attempt, unless its number was used before.
    pub(super) fn attempt_received(&mut self, now: Millis, connection: ConnectionId, request: Request) {
        let Some(peer) = self.connections.get(&connection) else { return };
        let key = peer.session.clone();
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let number = request.number;
        if session.is_used(number) {
            self.duplicates += 1;
            return;
        }
        let has_time = request.time_left > 0.0;
        if session.attempts.len() >= MAX_ATTEMPTS || !has_time {
            let outcome = if has_time { Outcome::Rejected } else { Outcome::Invalid };
            let result = RunResult::without_body(outcome);
            let response = RetainedResponse { result, sent: 0, credit_limit: 0, completed_at: now };
            let progress = AttemptProgress::Completed(response);
            session.attempts.insert(number, Attempt { connection: Some(connection), progress });
            return self.send_head(now, &key, number);
        }
        self.last_run += 1;
        let run = self.last_run;
        let progress = AttemptProgress::Running(run);
        session.attempts.insert(number, Attempt { connection: Some(connection), progress });
        self.runs.insert(run, AttemptKey { session: key, attempt: number });
        self.effects.push_back(Effect::Run(run, request));
    }

    /// Records the end of an execution: retains its response and sends the head.
    pub fn run_ended(&mut self, now: Millis, run: RunId, result: RunResult) {
        let Some(AttemptKey { session: key, attempt: number }) = self.runs.remove(&run) else { return };
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let Some(attempt) = session.attempts.get_mut(&number) else { return };
        self.retained_bytes += result.body.len();
        let credit_limit = session.credit_window;
        let response = RetainedResponse { result, sent: 0, credit_limit, completed_at: now };
        attempt.progress = AttemptProgress::Completed(response);
        self.send_head(now, &key, number);
        self.evict();
    }

    /// Releases an attempt that the requesting side has ended: discards its state, and fences its number if the attempt
    /// may still arrive.
    pub(super) fn release(&mut self, connection: ConnectionId, number: u64) {
        let Some(peer) = self.connections.get(&connection) else { return };
        let Some(session) = self.sessions.get_mut(&peer.session) else { return };
        if number < session.lowest_open_attempt {
            return;
        }
        let removed = session.attempts.remove(&number).map(|attempt| attempt.progress);
        // A request that was canceled before it was received may still arrive on another connection.
        let may_arrive =
            matches!(removed, None | Some(AttemptProgress::Running(_) | AttemptProgress::Fenced));
        if may_arrive {
            session.attempts.insert(number, Attempt::fenced());
        }
        if let Some(progress) = removed {
            self.discard(progress);
        }
    }

    /// Reports the status of an attempt whose connection was lost, and attaches it to the current connection.
    pub(super) fn resume(&mut self, now: Millis, connection: ConnectionId, number: u64) {
        let Some(peer) = self.connections.get(&connection) else { return };
        let key = peer.session.clone();
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let credit_window = session.credit_window;
        let state = match session.attempts.get_mut(&number) {
            None if number < session.lowest_open_attempt => AttemptState::Unknown,
            None => {
                session.attempts.insert(number, Attempt::fenced());
                AttemptState::NeverReceived
            }
            Some(attempt) => {
                attempt.connection = Some(connection);
                match &mut attempt.progress {
                    AttemptProgress::Running(_) => AttemptState::Running,
                    AttemptProgress::Completed(response) => {
                        // The response is sent again from its start, with the initial credit window.
                        response.credit_limit = credit_window;
                        AttemptState::Completed
                    }
                    AttemptProgress::Fenced => AttemptState::NeverReceived,
                    AttemptProgress::Evicted => AttemptState::Unknown,
                }
            }
        };
        let status = AttemptStatus { number, state: state.into() };
        self.effects.push_back(Effect::Send(connection, Payload::Status(status)));
        if state == AttemptState::Completed {
            self.send_head(now, &key, number);
        }
    }

    /// Processes the requesting side's lowest open attempt number: attempts with lower numbers have ended, whatever
    /// their last known state. They are discarded, and are not accepted if they arrive later.
    pub fn discard_attempts_below(&mut self, connection: ConnectionId, lowest_open_attempt: u64) {
        let Some(peer) = self.connections.get(&connection) else { return };
        let Some(session) = self.sessions.get_mut(&peer.session) else { return };
        session.lowest_open_attempt = session.lowest_open_attempt.max(lowest_open_attempt);
        let open = session.attempts.split_off(&session.lowest_open_attempt);
        let ended = std::mem::replace(&mut session.attempts, open);
        for attempt in ended.into_values() {
            self.discard(attempt.progress);
        }
    }

    /// Releases the resources of an attempt that was removed from its session: cancels its execution or drops its
    /// response.
    pub(super) fn discard(&mut self, progress: AttemptProgress) {
        match progress {
            AttemptProgress::Running(run) => {
                self.runs.remove(&run);
                self.effects.push_back(Effect::Cancel(run));
            }
            AttemptProgress::Completed(response) => self.retained_bytes -= response.result.body.len(),
            AttemptProgress::Fenced | AttemptProgress::Evicted => {}
        }
    }
}
