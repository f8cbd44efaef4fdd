//! The program that is started as a gateway.

use std::path::PathBuf;

/// A program, and the arguments that make it a gateway.
#[derive(Clone, Debug)]
pub struct Program {
    /// Its file.
    pub path: PathBuf,
    /// Its first arguments.
    pub arguments: Vec<String>,
}

impl Program {
    /// A program that is a gateway without further arguments.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Program { path: path.into(), arguments: Vec::new() }
    }
}

impl Default for Program {
    /// The program that `DECKPROXY_PROGRAM` names, the lab's own program, or the gateway built beside the running test.
    ///
    /// # Panics
    /// If the running program has no path.
    fn default() -> Self {
        if let Some(path) = std::env::var_os("DECKPROXY_PROGRAM") {
            return Program::new(path);
        }
        let own = std::env::current_exe().expect("the running program has a path");
        if own.file_stem().is_some_and(|name| name == "decklab") {
            return Program { path: own, arguments: vec!["gateway".to_string()] };
        }
        let folder = own.parent().expect("a program is in a folder");
        let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
        Program::new(folder.join("deckproxy"))
    }
}
