//! Runs the adapter as a process and checks its exit codes and error messages.

use std::io::Write;
use std::process::{Command, Stdio};

fn run(input: &[u8]) -> (bool, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_deckproxy-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let output = child.wait_with_output().unwrap();
    (output.status.success(), output.stdout, String::from_utf8(output.stderr).unwrap())
}

#[test]
fn it_exits_with_success_at_the_end_of_input() {
    let mut empty = vec![0; 16];
    empty.extend(1u32.to_le_bytes());
    let (ok, out, err) = run(&empty);
    assert!(ok && err.is_empty());
    assert_eq!(out, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
    assert_eq!(run(&[]), (true, vec![], String::new()));
}

#[test]
fn a_malformed_frame_exits_with_an_error_message() {
    let (ok, out, err) = run(&[1, 2, 3]);
    assert!(!ok && out.is_empty());
    assert_eq!(err, "deckproxy-adapter: the input ends inside a frame's length\n");
    let mut odd = 56u32.to_le_bytes().to_vec();
    odd.extend([0; 8]);
    odd.extend(1u32.to_le_bytes());
    odd.extend(7u32.to_le_bytes());
    odd.push(99);
    odd.extend([0; 55]);
    let (ok, _, err) = run(&odd);
    assert!(!ok);
    assert_eq!(err, "deckproxy-adapter: batch 7, record 0: unknown event code 99\n");
}
