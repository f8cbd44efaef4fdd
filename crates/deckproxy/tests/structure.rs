//! The program's modules have no import cycles, so that each can be changed without knowing all the others.
//!
//! A module that is a folder counts as one with all its files; the files of each folder are also checked against each
//! other.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// First-level names that follow a path prefix in code, such as `a`, `b` and `e` of
/// `use crate::program::{a, b::{C, D}, e}` after `crate::program::`.
fn names_after(text: &str, prefix: &str) -> Vec<String> {
    let code =
        text.lines().map(str::trim).filter(|line| !line.starts_with("//")).collect::<Vec<_>>().join(" ");
    let mut out = Vec::new();
    for (at, path) in code.match_indices(prefix) {
        let rest = &code[at + path.len()..];
        let names: Vec<&str> = match rest.strip_prefix('{') {
            Some(list) => {
                let mut depth = 0;
                let end = list
                    .char_indices()
                    .find(|(_, c)| match c {
                        '{' => {
                            depth += 1;
                            false
                        }
                        '}' => {
                            depth -= 1;
                            depth < 0
                        }
                        _ => false,
                    })
                    .map_or(list.len(), |(i, _)| i);
                list[..end].split([',', '{', '}']).collect()
            }
            None => vec![rest],
        };
        let first =
            |s: &str| s.trim().split(|c: char| !c.is_alphanumeric() && c != '_').next().map(String::from);
        out.extend(names.into_iter().filter_map(first));
    }
    out
}

/// The files on an import cycle, if there is one.
fn import_cycle(graph: &BTreeMap<String, BTreeSet<String>>) -> Option<Vec<String>> {
    fn walk<'a>(
        graph: &'a BTreeMap<String, BTreeSet<String>>,
        at: &'a str,
        path: &mut Vec<&'a str>,
        done: &mut BTreeSet<&'a str>,
    ) -> Option<Vec<String>> {
        if let Some(start) = path.iter().position(|name| *name == at) {
            return Some(path[start..].iter().map(|s| (*s).to_string()).collect());
        }
        if done.contains(at) {
            return None;
        }
        path.push(at);
        let found = graph.get(at).into_iter().flatten().find_map(|next| walk(graph, next, path, done));
        path.pop();
        done.insert(at);
        found
    }
    let mut done = BTreeSet::new();
    graph.keys().find_map(|name| walk(graph, name, &mut Vec::new(), &mut done))
}

fn program_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src/program")
}

/// The concatenated text of a file, or of all files in a folder and its subfolders.
fn text_of(path: &Path) -> String {
    if path.is_file() {
        return fs::read_to_string(path).expect("a source file");
    }
    let entries = fs::read_dir(path).expect("a folder of sources").flatten();
    entries.map(|entry| text_of(&entry.path())).collect::<Vec<_>>().join("\n")
}

/// The modules in a folder, by name, with their texts.
fn modules(folder: &Path) -> BTreeMap<String, String> {
    let entries = fs::read_dir(folder).expect("a folder of modules").flatten();
    entries
        .map(|entry| {
            let name = entry.path().file_stem().expect("a name").to_string_lossy().into_owned();
            (name, text_of(&entry.path()))
        })
        .collect()
}

fn program() -> BTreeMap<String, String> {
    modules(&program_folder())
}

/// The modules of the program that each of them imports by `crate::program::NAME`.
fn graph(modules: &BTreeMap<String, String>) -> BTreeMap<String, BTreeSet<String>> {
    let imports = |text: &String| {
        names_after(text, "crate::program::").into_iter().filter(|name| modules.contains_key(name)).collect()
    };
    modules.iter().map(|(name, text)| (name.clone(), imports(text))).collect()
}

/// The files of a folder that each of them imports. `super::NAME` names a sibling file or else an item of `mod.rs`, which
/// itself imports files by `use NAME::`.
fn graph_within(files: &BTreeMap<String, String>) -> BTreeMap<String, BTreeSet<String>> {
    let imports = |name: &String, text: &String| -> BTreeSet<String> {
        if name == "mod" {
            names_after(text, "use ").into_iter().filter(|name| files.contains_key(name)).collect()
        } else {
            let sibling = |name: String| if files.contains_key(&name) { name } else { "mod".to_string() };
            names_after(text, "super::").into_iter().map(sibling).collect()
        }
    };
    files.iter().map(|(name, text)| (name.clone(), imports(name, text))).collect()
}

/// The files of each module that is a folder.
fn folders() -> BTreeMap<String, BTreeMap<String, String>> {
    let entries = fs::read_dir(program_folder()).expect("the folder of the program").flatten();
    let folders = entries.map(|entry| entry.path()).filter(|path| path.is_dir());
    folders.map(|path| (path.display().to_string(), modules(&path))).collect()
}

#[test]
fn program_modules_have_no_import_cycle() {
    let graph = graph(&program());
    assert!(graph["gateway"].contains("subsystem"), "imports are no longer found: {graph:?}");
    assert_eq!(import_cycle(&graph), None);
}

#[test]
fn files_of_a_module_folder_have_no_import_cycle() {
    let folders = folders();
    assert!(!folders.is_empty(), "no folder is found");
    for (folder, files) in folders {
        assert!(files.contains_key("mod"), "{folder}: {:?}", files.keys());
        let graph = graph_within(&files);
        assert!(graph.values().any(|imports| !imports.is_empty()), "{folder}: imports are no longer found");
        assert_eq!(import_cycle(&graph), None, "{folder}");
    }
}

#[test]
fn import_cycle_within_a_folder_is_detected() {
    let mut files = modules(&program_folder().join("subsystem"));
    files.get_mut("ids").expect("the identifiers").push_str("\nuse super::{effect::Effect, Context};\n");
    let graph = graph_within(&files);
    assert!(graph["ids"].contains("effect") && graph["ids"].contains("mod"), "{graph:?}");
    let cycle = import_cycle(&graph).expect("effect and ids import each other");
    assert!(cycle.contains(&"ids".to_string()), "{cycle:?}");
}

#[test]
fn subsystems_import_neither_the_event_loop_nor_each_other() {
    let graph = graph(&program());
    for name in ["fleet", "flows", "recovery", "sites"] {
        assert_eq!(graph[name], BTreeSet::from(["subsystem".to_string()]), "{name}");
    }
}

#[test]
fn import_cycle_is_detected() {
    let mut files = program();
    let sites = files.get_mut("sites").expect("the links' file");
    sites.push_str("\nuse crate::program::{flows::{Flows, Other}, gateway::Gateway};\n");
    let graph = graph(&files);
    assert!(graph["sites"].contains("flows"), "{graph:?}");
    let cycle = import_cycle(&graph).expect("gateway and sites import each other");
    assert!(cycle.contains(&"sites".to_string()) && cycle.contains(&"gateway".to_string()), "{cycle:?}");
}
