//! `deckproxy migrate`: a configuration file of one deployment's shape to its counterpart for another's.

use crate::program::cli::Migrate;
use crate::protocol::{config, shape};
use serde_json::{Value, json};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

/// The exit code where something could not be carried over. 0 is clean, 1 failed, 2 a command line that can't be
/// read.
pub const WITH_LOSSES: u8 = 3;

/// Reads a configuration file; the error has a line for each fault, as `FILE:LINE:COLUMN: FIELD: WHAT`.
pub fn configuration(path: &Path, partial: bool) -> Result<Value, Vec<String>> {
    let shown = path.display();
    let bytes = std::fs::read(path).map_err(|e| vec![format!("{shown}: cannot be read: {e}")])?;
    let text = String::from_utf8(bytes).map_err(|e| {
        let good = e.utf8_error().valid_up_to();
        let line = e.as_bytes()[..good].iter().filter(|b| **b == b'\n').count() + 1;
        vec![format!("{shown}:{line}:1: file: not UTF-8 from byte {good} on")]
    })?;
    shape::read(&text, partial).map_err(|faults| faults.iter().map(|f| format!("{shown}:{f}")).collect())
}

/// Does what the command line says. Nothing is written unless all of it can be.
pub fn run(args: &Migrate) -> Result<ExitCode, String> {
    let mut faults = Vec::new();
    let mut read = |path: &Path, partial| {
        configuration(path, partial).map_err(|what| faults.extend(what)).unwrap_or_default()
    };
    let old = read(&args.old, false);
    let mut shapes: Vec<Value> = args.shape.iter().map(|path| read(path, true)).collect();
    for set in &args.set {
        let (path, value) = set.split_once('=').ok_or(format!("--set {set}: no PATH=VALUE"))?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_string()));
        let one = path.rsplit('.').fold(value, |value, field| json!({ field: value }));
        let text = one.to_string();
        faults.extend(shape::read(&text, true).err().into_iter().flatten().map(|what| {
            let what = what.splitn(3, ':').last().unwrap_or_default().to_string();
            format!("--set {set}:{what}")
        }));
        shapes.push(one);
    }
    if !faults.is_empty() {
        return Err(format!("{}\nnothing was written", faults.join("\n")));
    }
    let (new, losses) = shape::migrate(&old, &shapes);
    let text = format!("{new:#}\n");
    config::read(text.as_bytes())
        .map_err(|e| format!("the counterpart would not start: {e}\nnothing was written"))?;
    for loss in &losses {
        println!("{}: {}: {}", args.old.display(), loss.field, loss.why);
    }
    let count = format!("{} not carried over", losses.len());
    let out = args.out.display();
    if args.dry_run {
        println!("{out}: would be written ({} bytes), {count}; nothing was changed", text.len());
    } else if write(&args.old, &args.out, text.as_bytes(), args.replace)? {
        println!("{out}: written ({} bytes), {count}", text.len());
    } else {
        println!("{out}: is that already, {count}");
    }
    Ok(if losses.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(WITH_LOSSES) })
}

/// Writes a file whole or not at all; tells whether it had to be.
fn write(input: &Path, out: &Path, bytes: &[u8], replace: bool) -> Result<bool, String> {
    let shown = out.display();
    let failed = |e: &std::io::Error| format!("{shown}: cannot be written: {e}");
    if let Ok(there) = std::fs::canonicalize(out) {
        if std::fs::canonicalize(input).is_ok_and(|input| input == there) {
            return Err(format!("{shown}: is the input, which is never written over"));
        } else if std::fs::read(out).is_ok_and(|held| held == bytes) {
            return Ok(false);
        } else if !replace {
            return Err(format!("{shown}: is there already; --replace writes it anew"));
        }
    }
    let folder = out.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(|e| failed(&e))?;
    // A temporary file is its owner's alone; who could read the old one is to read the new one.
    let mode = std::fs::metadata(input).map_err(|e| failed(&e))?.permissions();
    file.as_file().set_permissions(mode).map_err(|e| failed(&e))?;
    file.write_all(bytes).and_then(|()| file.as_file().sync_all()).map_err(|e| failed(&e))?;
    // Without leave to replace, one that came meanwhile stays.
    let done = if replace { file.persist(out) } else { file.persist_noclobber(out) };
    done.map_err(|e| failed(&e.error))?;
    std::fs::File::open(folder).and_then(|f| f.sync_all()).map_err(|e| failed(&e))?;
    Ok(true)
}
