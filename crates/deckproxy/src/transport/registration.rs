//! Registration of sockets with the event loop.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use std::io;
use std::os::fd::AsFd;

/// Registers a socket edge-triggered: `ready` is called once when it becomes ready, so its owner has to read or
/// write until the kernel returns `EWOULDBLOCK`.
pub(super) fn register<D: 'static, S: AsFd + 'static>(
    handle: &LoopHandle<'static, D>,
    socket: S,
    interest: Interest,
    mut ready: impl FnMut(&mut D, Readiness) + 'static,
) -> io::Result<RegistrationToken> {
    let source = Generic::new(socket, interest, Mode::Edge);
    let registered = handle.insert_source(source, move |readiness, _, data| {
        ready(data, readiness);
        Ok(PostAction::Continue)
    });
    registered.map_err(|error| io::Error::other(error.error))
}
