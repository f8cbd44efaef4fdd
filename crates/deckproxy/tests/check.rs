//! The `deckproxy check` command: prints each fault on a line of standard error, followed by a line with their number.

use std::path::Path;
use std::process::Command;

const NORTH: &str = r#"sites { name: "north" listen: "127.0.0.1:7001" peers { site: "south" addresses: "127.0.0.1:7002" }
  routes { prefix: "7" home: "west" via: "south" } }
"#;
const SOUTH: &str = r#"sites { name: "south" listen: "127.0.0.1:7002" peers { site: "north" addresses: "127.0.0.1:7001" }
  routes { prefix: "7" home: "west" via: "north" } }
"#;

/// Writes the files to the folder and runs `check` there on the named ones. Returns the exit code and the lines of
/// standard error.
fn check(folder: &Path, files: &[(&str, &[u8])], names: &[&str]) -> (Option<i32>, Vec<String>) {
    for (name, content) in files {
        std::fs::write(folder.join(name), content).unwrap();
    }
    let output = Command::new(env!("CARGO_BIN_EXE_deckproxy"))
        .arg("check")
        .args(names)
        .current_dir(folder)
        .output()
        .unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    (output.status.code(), errors.lines().map(String::from).collect())
}

#[test]
fn each_kind_of_fault_names_its_file_and_place() {
    let folder = tempfile::tempdir().unwrap();
    let files: [(&str, &[u8]); 3] = [
        ("field.textproto", b"sites { name: \"north\"\n  nmae: \"x\" }\n"),
        ("bytes.json", b"{\n\"listen\": \"\xe9\"}"),
        ("value.json", b"{\"listen\": 5, \"seed\": 1, \"settings\": {}}"),
    ];
    let names = ["field.textproto", "bytes.json", "value.json", "missing.json", "missing.textproto"];
    let (code, errors) = check(folder.path(), &files, &names);
    assert_eq!(code, Some(1));
    assert_eq!(errors.len(), 6, "{errors:#?}");
    assert!(errors[0].starts_with("field.textproto:2:3: sites.nmae: no such field"), "{errors:#?}");
    assert_eq!(errors[1], "bytes.json:2:1: file: not UTF-8 from byte 13 on");
    assert_eq!(errors[2], "value.json:1:12: listen: no text");
    assert!(errors[3].starts_with("missing.json: cannot be read: "), "{errors:#?}");
    assert!(errors[4].starts_with("missing.textproto: cannot be read: "), "{errors:#?}");
    assert_eq!(errors[5], "deckproxy: 5 faults found");
}

#[test]
fn a_loop_through_the_routes_of_two_files_is_found() {
    let folder = tempfile::tempdir().unwrap();
    let files = [("north.textproto", NORTH.as_bytes()), ("south.textproto", SOUTH.as_bytes())];
    let (code, errors) = check(folder.path(), &files, &["north.textproto", "south.textproto"]);
    assert_eq!(code, Some(1));
    assert_eq!(
        errors,
        [
            "north.textproto: sites.routes[0]: object 7000000000000000 goes round: north > south > north",
            "south.textproto: sites.routes[0]: object 7000000000000000 goes round: south > north > south",
            "deckproxy: 2 faults found",
        ]
    );
    let (code, errors) = check(folder.path(), &files, &["north.textproto"]);
    assert_eq!((code, errors), (Some(0), Vec::new()), "a single file has no loop");
}
