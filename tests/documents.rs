//! The documents name what is there: modules, tests, scenarios and types that they mention exist, so that a
//! rename can't leave a reader, or a claim about safety, with a name that leads nowhere.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Documents that describe the present sources. Incident accounts and results stay as they were written.
const DOCUMENTS: [&str; 7] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/ARCHITECTURE.md",
    "docs/DESIGN.md",
    "docs/GLOSSARY.md",
    "docs/OPERATIONS.md",
    "docs/SAFETY.md",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Every file below a folder.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder of the repository") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// The paths of all sources and tests, relative to the repository, with `/` between folders.
fn source_paths() -> Vec<String> {
    let folders = ["src", "tests"].map(|folder| root().join(folder));
    let files = folders.iter().flat_map(|folder| files_below(folder));
    files
        .map(|file| {
            let relative = file.strip_prefix(root()).expect("below the root");
            relative.to_string_lossy().replace('\\', "/")
        })
        .collect()
}

/// Every word of all sources and tests, and the names of all files without their ending.
fn known_words() -> BTreeSet<String> {
    let mut words = BTreeSet::new();
    for path in source_paths() {
        let stem = Path::new(&path).file_stem().expect("a file name");
        words.insert(stem.to_string_lossy().into_owned());
        if path.ends_with(".rs") {
            let text = std::fs::read_to_string(root().join(&path)).expect("a source");
            let separators = |c: char| !c.is_alphanumeric() && c != '_';
            words.extend(text.split(separators).map(str::to_owned));
        }
    }
    words
}

/// What stands between single backticks, outside blocks of code.
fn quoted(document: &str) -> Vec<String> {
    let text = std::fs::read_to_string(root().join(document)).expect(document);
    let prose: Vec<&str> = text.split("```").step_by(2).collect();
    let prose = prose.concat();
    let lines = prose.lines().filter(|line| !line.starts_with("    "));
    let parts = lines.flat_map(|line| line.split('`').skip(1).step_by(2).map(str::to_owned));
    parts.collect()
}

fn is_identifier(text: &str) -> bool {
    text.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

#[test]
fn source_files_named_in_documents_exist() {
    let paths = source_paths();
    let mut missing = Vec::new();
    for document in DOCUMENTS {
        for name in quoted(document) {
            let is_source = name.ends_with(".rs") && !name.contains(['*', ' ', '{']);
            let exists = |path: &String| path == &name || path.ends_with(&format!("/{name}"));
            if is_source && !paths.iter().any(exists) {
                missing.push(format!("{document}: {name}"));
            }
        }
    }
    assert!(missing.is_empty(), "named, but not there: {missing:#?}");
}

#[test]
fn tests_and_scenarios_named_by_safety_claims_exist() {
    let words = known_words();
    let mut missing = Vec::new();
    let mut looked_at = 0;
    for name in quoted("docs/SAFETY.md") {
        let prefix = name.strip_suffix('*').unwrap_or(&name);
        if !is_identifier(prefix) || !prefix.contains('_') {
            continue;
        }
        looked_at += 1;
        let exists = match name.ends_with('*') {
            true => words.iter().any(|word| word.starts_with(prefix)),
            false => words.contains(prefix),
        };
        if !exists {
            missing.push(name);
        }
    }
    assert!(looked_at > 50, "the claims name their tests");
    assert!(missing.is_empty(), "named, but not there: {missing:#?}");
}

#[test]
fn types_named_in_the_glossary_exist() {
    let words = known_words();
    let mut missing = Vec::new();
    let mut looked_at = 0;
    for name in quoted("docs/GLOSSARY.md") {
        let is_type = is_identifier(&name)
            && name.starts_with(|c: char| c.is_ascii_uppercase())
            && name.contains(|c: char| c.is_ascii_lowercase());
        if is_type {
            looked_at += 1;
            if !words.contains(&name) {
                missing.push(name);
            }
        }
    }
    assert!(looked_at > 20, "the glossary names types");
    assert!(missing.is_empty(), "named, but not there: {missing:#?}");
}
