//! Lines and tables on standard output.

use comfy_table::Table;

/// Prints a line like `println!`, but does not panic when the reader has gone (`decklab ... | head`): the run goes on, as
/// its exit code and its files still count.
macro_rules! print_line {
    ($($arguments:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($arguments)*);
    }};
}
pub(crate) use print_line;

/// Prints a table of named values.
pub fn print_rows<N: Into<String>>(rows: impl IntoIterator<Item = (N, String)>) {
    let mut table = Table::new();
    table.set_header(["", ""]);
    for (name, value) in rows {
        table.add_row([name.into(), value]);
    }
    print_line!("{table}");
}
