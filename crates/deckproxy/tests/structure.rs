//! No file of the program is in a circle with another: who changes one must not have to hold all others in mind.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The files of the program that a text names: `crate::program::NAME`, or by the wiring its own `mod`s.
fn named(text: &str, all: &BTreeSet<String>) -> BTreeSet<String> {
    let code =
        text.lines().map(str::trim).filter(|line| !line.starts_with("//")).collect::<Vec<_>>().join(" ");
    let mut out = BTreeSet::new();
    for (at, path) in code.match_indices("crate::program::") {
        let rest = &code[at + path.len()..];
        let names: Vec<&str> = match rest.strip_prefix('{') {
            // `use crate::program::{a, b::{C, D}, e}`: the names at the first level.
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
        out.extend(names.into_iter().filter_map(first).filter(|name| all.contains(name)));
    }
    out
}

/// A circle, if there is one, as the files on it.
fn circle(graph: &BTreeMap<String, BTreeSet<String>>) -> Option<Vec<String>> {
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

fn program() -> BTreeMap<String, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/program");
    let files = fs::read_dir(folder).expect("the folder of the program").flatten();
    files
        .map(|file| {
            let name = file.path().file_stem().expect("a name").to_string_lossy().into_owned();
            (name, fs::read_to_string(file.path()).expect("a source file"))
        })
        .collect()
}

fn graph(files: &BTreeMap<String, String>) -> BTreeMap<String, BTreeSet<String>> {
    let all: BTreeSet<String> = files.keys().cloned().collect();
    files.iter().map(|(name, text)| (name.clone(), named(text, &all))).collect()
}

#[test]
fn program_modules_have_no_import_cycle() {
    let files = program();
    let graph = graph(&files);
    assert!(graph["gateway"].contains("subsystem"), "imports are not found any more: {graph:?}");
    assert_eq!(circle(&graph), None);
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
    let circle = circle(&graph).expect("gateway and sites import each other");
    assert!(circle.contains(&"sites".to_string()) && circle.contains(&"gateway".to_string()), "{circle:?}");
}
