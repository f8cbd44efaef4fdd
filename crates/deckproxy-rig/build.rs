//! Compiles the schema of plans without `protoc`.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/plan.proto");
    let files = protox::compile(["proto/plan.proto"], ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("plan.bin"), prost::Message::encode_to_vec(&files))?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
