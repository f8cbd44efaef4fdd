//! The write buffer with a kernel that accepts few bytes at a time.

use bytes::Bytes;
use deckproxy::transport::write_buffer::{OutgoingMessage, WriteBuffer, WrittenMessage};
use proptest::prelude::*;
use std::io::{self, IoSlice, Write};

/// A writer that accepts the given number of bytes at each call, last number first, and then would block.
struct Kernel {
    accepts: Vec<usize>,
    got: Vec<u8>,
}

impl Write for Kernel {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.write_vectored(&[IoSlice::new(bytes)])
    }

    fn write_vectored(&mut self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let Some(mut left) = self.accepts.pop().filter(|n| *n > 0) else {
            return Err(io::ErrorKind::WouldBlock.into());
        };
        let before = self.got.len();
        for slice in slices {
            let part = left.min(slice.len());
            self.got.extend_from_slice(&slice[..part]);
            left -= part;
        }
        Ok(self.got.len() - before)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn message(key: u64, sizes: [usize; 3]) -> OutgoingMessage {
    let byte = u8::try_from(key % 251).unwrap();
    OutgoingMessage { key, parts: sizes.map(|n| Bytes::from(vec![byte; n])) }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_is_written_in_order_with_any_short_writes(
        sizes in prop::collection::vec((0usize..50, 0usize..500, 1usize..5), 1..80),
        accepts in prop::collection::vec(0usize..700, 0..60),
    ) {
        let mut buffer = WriteBuffer::default();
        let mut want = Vec::new();
        for (key, (a, b, c)) in (1u64..).zip(&sizes) {
            let m = message(key, [*a, *b, *c]);
            m.parts.iter().for_each(|p| want.extend_from_slice(p));
            buffer.push(m);
        }
        let mut kernel = Kernel { accepts, got: Vec::new() };
        let mut written = Vec::new();
        let mut done = false;
        while !done {
            done = buffer.flush(&mut kernel, &mut written).unwrap();
            prop_assert_eq!(buffer.bytes(), want.len() - kernel.got.len());
            // A key is reported once all of its bytes are written, and not before.
            let whole: usize = sizes[..written.len()].iter().map(|(a, b, c)| a + b + c).sum();
            let next: usize = sizes.get(written.len()).map_or(1, |(a, b, c)| a + b + c);
            prop_assert!((whole..whole + next).contains(&kernel.got.len()));
            if kernel.accepts.is_empty() {
                kernel.accepts = vec![64; 100];
            }
        }
        prop_assert_eq!(kernel.got, want);
        let lengths = sizes.iter().map(|(a, b, c)| a + b + c);
        let all = (1..).zip(lengths).map(|(key, bytes)| WrittenMessage { key, bytes });
        prop_assert_eq!(written, all.collect::<Vec<_>>());
    }
}

#[test]
fn only_unstarted_messages_can_be_cancelled() {
    let mut buffer = WriteBuffer::default();
    (1..=3).for_each(|key| buffer.push(message(key, [10, 10, 10])));
    let mut kernel = Kernel { accepts: vec![0, 5], got: Vec::new() };
    let mut written = Vec::new();
    assert!(!buffer.flush(&mut kernel, &mut written).unwrap());
    assert!(!buffer.cancel(1), "five of its bytes are written");
    assert!(buffer.cancel(2));
    assert!(!buffer.cancel(2) && !buffer.cancel(9));
    assert_eq!(buffer.bytes(), 55);
    kernel.accepts = vec![1000; 3];
    assert!(buffer.flush(&mut kernel, &mut written).unwrap());
    assert_eq!(
        (written, kernel.got.len()),
        ([1, 3].map(|key| WrittenMessage { key, bytes: 30 }).to_vec(), 60)
    );
}

#[test]
fn write_of_zero_bytes_is_an_error() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Ok(0)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut buffer = WriteBuffer::default();
    buffer.push(message(1, [1, 1, 1]));
    assert!(buffer.flush(&mut Closed, &mut Vec::new()).is_err());
}
