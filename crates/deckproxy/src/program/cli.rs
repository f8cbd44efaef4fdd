//! The command line.

#![allow(
    clippy::doc_markdown,
    reason = "these comments are the text of --help, which shows backticks as they are"
)]

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Routes requests to caches that fill from parents and an origin.
///
/// Without a command it serves, configured by the environment: GW_CONFIG, GW_LISTEN, GW_NAME.
#[derive(Debug, Parser)]
#[command(name = "deckproxy", version)]
pub struct Cli {
    /// The command.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Options of the log.
    #[command(flatten)]
    pub log: Log,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve requests.
    Run(Run),
    /// Check operator files and configurations (*.json): exit code 0, or each fault as
    /// FILE:LINE:COLUMN: FIELD: WHAT. The files of several sites are also checked for forwarding loops.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Convert a configuration file to the shape of another deployment, and list what could not be carried over. Exit
    /// code 0: complete; 3: with losses; 1: failed, and nothing was written.
    Migrate(Migrate),
    /// Print the version.
    Version,
}

/// Arguments of `run`.
#[derive(Clone, Debug, Default, Args)]
pub struct Run {
    /// The configuration (JSON), instead of GW_CONFIG.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The operator file (protobuf text format), which enables and configures optional subsystems.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

/// Arguments of `migrate`.
#[derive(Clone, Debug, Args)]
pub struct Migrate {
    /// The configuration in the old shape (JSON); it is not changed.
    pub old: PathBuf,
    /// The file to write the converted configuration to.
    #[arg(long, value_name = "FILE")]
    pub out: PathBuf,
    /// The new shape: a partial configuration (JSON) that is merged over the old one; null removes a field.
    #[arg(long, value_name = "FILE")]
    pub shape: Option<PathBuf>,
    /// A single field of the new shape, such as settings.weightKind=none; a value that is not JSON is a string. Merged
    /// over the shape; may be repeated.
    #[arg(long, value_name = "PATH=VALUE")]
    pub set: Vec<String>,
    /// Overwrite an existing output file.
    #[arg(long)]
    pub replace: bool,
    /// Report what would be done, and change nothing.
    #[arg(long)]
    pub dry_run: bool,
}

/// Options of the log.
#[derive(Clone, Copy, Debug, Default, Args)]
pub struct Log {
    /// The format of log lines.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub log_format: Format,
    /// The minimum level to log. Default: DECKPROXY_LOG, else info.
    #[arg(long, global = true, value_enum)]
    pub log_level: Option<Level>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// A log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Level {
    /// All lines.
    Debug,
    /// Lifecycle events and summaries, and problems.
    Info,
    /// Problems only.
    Warning,
}
