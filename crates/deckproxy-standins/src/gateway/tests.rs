use super::{Gateway, Program};
use crate::wait::{free_address, until};
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// On SIGTERM it logs many lines, which fit into the kernel's buffer, and ends at once.
const SCRIPT: &str =
    "trap 'seq 10000 >&2; echo end >&2; exit 0' TERM; echo ready >&2; while :; do sleep 0.01; done";
/// How long the reader of the log is kept from storing what it reads.
const READER_DELAY: Duration = Duration::from_millis(300);

fn start_script() -> Gateway {
    let program = Program { path: "/bin/sh".into(), arguments: vec!["-c".to_string(), SCRIPT.to_string()] };
    Gateway::spawn_program(&program, Path::new("/nonexistent"), free_address(), "true", &[])
}

/// Regression test: the last lines of a log were missing if its reader was late when the process ended.
#[test]
fn log_is_complete_after_the_exit_although_its_reader_is_late() {
    let mut gateway = start_script();
    until("the script runs", || gateway.log().contains("ready"));
    let log = gateway.log.clone();
    let (held, is_held) = mpsc::channel();
    let reader_delay = thread::spawn(move || {
        let _log = log.lock().unwrap();
        held.send(()).unwrap();
        thread::sleep(READER_DELAY);
    });
    is_held.recv().unwrap();
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
    let log = gateway.log();
    assert!(log.ends_with("\n10000\nend\n"), "it ends with {:?}", log.lines().last());
    reader_delay.join().unwrap();
}
