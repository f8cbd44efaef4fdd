//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Routes requests to caches that fill from parents and an origin.
///
/// Without a command it serves as the environment says: GW_CONFIG, GW_LISTEN, GW_NAME.
#[derive(Debug, Parser)]
#[command(name = "deckproxy", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// How to log.
    #[command(flatten)]
    pub log: Log,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve.
    Run(Run),
    /// Check operator files: exit code 0, or each fault as FILE:LINE:COLUMN: FIELD: WHAT. Several sites' files are
    /// checked for routes that go round, too.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Print the version.
    Version,
}

/// What is served.
#[derive(Clone, Debug, Default, Args)]
pub struct Run {
    /// The configuration (JSON), in place of GW_CONFIG.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The operator file (protobuf text format): what is switched on beside the configuration.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

/// How to log.
#[derive(Clone, Copy, Debug, Default, Args)]
pub struct Log {
    /// The form of the log's lines.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub log_format: Format,
    /// The least level that is written; else DECKPROXY_LOG, else info.
    #[arg(long, global = true, value_enum)]
    pub log_level: Option<Level>,
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A level of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Level {
    /// Everything.
    Debug,
    /// What happens once, and summaries.
    Info,
    /// What goes wrong.
    Warning,
}
