//! The account of what a client is owed, against a plain list of requests, and its effect on a client's connection.

use deckproxy::protocol::downstream::Answer;
use deckproxy::protocol::limits;
use deckproxy::transport::client::ClientConnection;
use deckproxy::transport::owed_answers::OwedAnswers;
use deckproxy::transport::stream::Stream;
use proptest::prelude::*;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Most calls on one account.
const CALLS: usize = 400;
/// Ids that the calls draw from: more than may be open.
const IDS: u32 = 80;

#[derive(Clone, Copy, Debug)]
enum Call {
    Admit(u32),
    Answer(u32),
    Cancel(u32),
    /// Only an answer in the write buffer can be written.
    WriteFirst,
}

fn call() -> impl Strategy<Value = Call> {
    let id = 1..=IDS;
    prop_oneof![
        2 => id.clone().prop_map(Call::Admit),
        1 => id.clone().prop_map(Call::Answer),
        1 => id.prop_map(Call::Cancel),
        1 => Just(Call::WriteFirst),
    ]
}

proptest! {
    #[test]
    fn any_order_of_calls_agrees_with_a_plain_list(calls in prop::collection::vec(call(), 0..CALLS)) {
        let mut account = OwedAnswers::default();
        let (mut awaited, mut unwritten) = (Vec::new(), Vec::new());
        for call in calls {
            match call {
                Call::Admit(id) => {
                    let is_new = !awaited.contains(&id) && !unwritten.contains(&id);
                    let admits = is_new && awaited.len() + unwritten.len() < limits::CLIENT_REQUESTS;
                    prop_assert_eq!(account.admit(id, 0.0), admits);
                    awaited.extend(admits.then_some(id));
                }
                Call::Answer(id) => {
                    let was_awaited = take(&mut awaited, id);
                    prop_assert_eq!(account.answered(id), was_awaited);
                    unwritten.extend(was_awaited.then_some(id));
                }
                Call::Cancel(id) => prop_assert_eq!(account.cancelled(id), take(&mut awaited, id)),
                Call::WriteFirst if unwritten.is_empty() => {}
                Call::WriteFirst => account.written(unwritten.remove(0)),
            }
            prop_assert_eq!(account.is_empty(), awaited.is_empty() && unwritten.is_empty());
            prop_assert!((1..=IDS).all(|id| account.is_awaited(id) == awaited.contains(&id)));
        }
    }
}

/// Removes an id from a list. Returns whether it was in it.
fn take(ids: &mut Vec<u32>, id: u32) -> bool {
    let position = ids.iter().position(|own| *own == id);
    position.map(|position| ids.remove(position)).is_some()
}

fn connection() -> (ClientConnection, TcpStream) {
    let events: calloop::EventLoop<'static, ()> = calloop::EventLoop::try_new().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (socket, _) = listener.accept().unwrap();
    let stream = Stream::accepted(&events.handle(), &Rc::default(), socket, |(), _| {}).unwrap();
    (ClientConnection::new(stream, 0.0), client)
}

#[test]
fn connection_is_owed_until_the_last_answer_is_written_or_of_no_use() {
    let (mut connection, _client) = connection();
    assert!(connection.is_idle());
    assert!(connection.admit(1, 900.0) && connection.admit(2, 500.0));
    assert_eq!((connection.is_idle(), connection.owed_until(0.0)), (false, Some(900.0)));
    assert_eq!(connection.owed_until(900.0), None, "of no more use");
    assert!(connection.answer(1, &Answer::Failed));
    connection.flush(1.0, |_| {}).unwrap();
    assert_eq!(connection.owed_until(0.0), Some(900.0), "the second is awaited");
    assert!(connection.cancel_request(2) && !connection.cancel_request(2));
    assert!(!connection.answer(2, &Answer::Failed), "a cancelled request gets no answer");
    assert_eq!((connection.is_idle(), connection.owed_until(0.0)), (true, None));
    connection.answer_unadmitted(3, &Answer::Rejected(0.0), 1200.0);
    assert_eq!(connection.owed_until(0.0), Some(1200.0), "its rejection is not written");
    connection.flush(2.0, |_| {}).unwrap();
    assert_eq!((connection.is_idle(), connection.owed_until(0.0)), (true, None));
}
