//! Lines on standard output.

/// Prints a line like `println!`, but does not panic when the reader has gone (`decklab ... | head`): the run goes on, as
/// its exit code and its files still count.
macro_rules! print_line {
    ($($words:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($words)*);
    }};
}
pub(crate) use print_line;
