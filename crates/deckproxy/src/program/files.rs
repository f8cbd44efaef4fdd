//! What is read at the start, and again on SIGHUP.

use crate::program::cli::Run;
use crate::protocol::config;
use deckproxy_operator::Operator;
use std::path::Path;

/// All that is read at the start, and again on SIGHUP.
#[derive(Debug)]
pub struct Files {
    /// The platform's configuration.
    pub config: config::Config,
    /// What the operators switch on beside it.
    pub operator: Operator,
}

impl Files {
    /// Reads what the command line and the environment name. The error tells what can't be read, a line for each fault.
    pub fn read(run: &Run) -> Result<Self, String> {
        let operator = match &run.operator {
            None => Operator::default(),
            Some(path) => operator(path).map_err(|faults| faults.join("\n"))?,
        };
        Ok(Files { config: configuration(run)?, operator })
    }
}

fn configuration(run: &Run) -> Result<config::Config, String> {
    let path = match &run.config {
        Some(path) => path.clone().into_os_string(),
        None => std::env::var_os("GW_CONFIG").ok_or("GW_CONFIG is not set")?,
    };
    let shown = Path::new(&path).display().to_string();
    let text = std::fs::read(&path).map_err(|e| format!("cannot read the configuration {shown}: {e}"))?;
    let mut config = config::read(&text)?;
    if let Ok(listen) = std::env::var("GW_LISTEN") {
        config.listen = listen.parse().map_err(|_| format!("GW_LISTEN: {listen:?} is no address"))?;
    }
    if let Ok(name) = std::env::var("GW_NAME") {
        config.name = name;
    }
    Ok(config)
}

/// Reads an operator file; the error has a line for each fault.
pub fn operator(path: &Path) -> Result<Operator, Vec<String>> {
    let shown = path.display();
    let read = || {
        let length = std::fs::metadata(path)?.len();
        // What is over the limit is not read, only told.
        let most = deckproxy_operator::LARGEST as u64 + 1;
        let mut bytes = Vec::with_capacity(length.min(most) as usize);
        std::io::Read::read_to_end(&mut std::io::Read::take(std::fs::File::open(path)?, most), &mut bytes)?;
        Ok::<_, std::io::Error>(bytes)
    };
    let bytes = read().map_err(|e| vec![format!("{shown}: cannot be read: {e}")])?;
    deckproxy_operator::read(&bytes)
        .map_err(|faults| faults.iter().map(|fault| format!("{shown}:{fault}")).collect())
}
