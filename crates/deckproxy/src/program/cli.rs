//! The command line.

#![allow(
    clippy::doc_markdown,
    reason = "these comments are the text of --help, which shows backticks as they are"
)]

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
    /// Check operator files and configurations (*.json): exit code 0, or each fault as
    /// FILE:LINE:COLUMN: FIELD: WHAT. Several sites' files are checked for routes that go round, too.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Write the counterpart of a configuration file for the shape of another deployment, and list what could not be
    /// carried over. Exit code 0: clean; 3: with losses; 1: failed, and nothing was written.
    Migrate(Migrate),
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

/// What is migrated.
#[derive(Clone, Debug, Args)]
pub struct Migrate {
    /// The configuration of the old shape (JSON); it is only read.
    pub old: PathBuf,
    /// Where its counterpart goes.
    #[arg(long, value_name = "FILE")]
    pub out: PathBuf,
    /// What the new shape sets: a part of a configuration (JSON), laid over the old one; null takes a field away.
    #[arg(long, value_name = "FILE")]
    pub shape: Option<PathBuf>,
    /// One field that the new shape sets, as settings.weightKind=none; the value is JSON, else a text. Laid over
    /// the shape; may be given often.
    #[arg(long, value_name = "PATH=VALUE")]
    pub set: Vec<String>,
    /// Write over a file that is there already.
    #[arg(long)]
    pub replace: bool,
    /// Tell what would be done, and change nothing.
    #[arg(long)]
    pub dry_run: bool,
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
