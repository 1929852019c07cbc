//! Guards against documents, safety claims above all, that still name a source file, test, scenario or type after it
//! was renamed or removed.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Documents that describe the current sources. Incident reports and results are not checked: they keep old names.
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

/// Returns all files below a folder.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// Returns the paths of all sources and tests, relative to the repository root and separated by `/`.
fn source_paths() -> Vec<String> {
    let folders = ["src", "tests"].map(|folder| root().join(folder));
    let files = folders.iter().flat_map(|folder| files_below(folder));
    files
        .map(|file| {
            let relative = file
                .strip_prefix(root())
                .expect("the path is below the root");
            relative.to_string_lossy().replace('\\', "/")
        })
        .collect()
}

/// Returns all words in Rust sources and tests, and the names of all source and test files without extension.
fn known_words() -> BTreeSet<String> {
    let mut words = BTreeSet::new();
    for path in source_paths() {
        let stem = Path::new(&path)
            .file_stem()
            .expect("the path has a file name");
        words.insert(stem.to_string_lossy().into_owned());
        if path.ends_with(".rs") {
            let text = std::fs::read_to_string(root().join(&path)).expect("the source can be read");
            let separators = |c: char| !c.is_alphanumeric() && c != '_';
            words.extend(text.split(separators).map(str::to_owned));
        }
    }
    words
}

/// Returns the inline code spans of a document: the text between single backticks, outside code blocks.
fn inline_code(document: &str) -> Vec<String> {
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
        for name in inline_code(document) {
            let is_source = name.ends_with(".rs") && !name.contains(['*', ' ', '{']);
            let exists = |path: &String| path == &name || path.ends_with(&format!("/{name}"));
            if is_source && !paths.iter().any(exists) {
                missing.push(format!("{document}: {name}"));
            }
        }
    }
    assert!(
        missing.is_empty(),
        "named in documents, but missing: {missing:#?}"
    );
}

#[test]
fn tests_and_scenarios_named_by_safety_claims_exist() {
    let words = known_words();
    let mut missing = Vec::new();
    let mut checked = 0;
    for name in inline_code("docs/SAFETY.md") {
        let prefix = name.strip_suffix('*').unwrap_or(&name);
        if !is_identifier(prefix) || !prefix.contains('_') {
            continue;
        }
        checked += 1;
        let exists = match name.ends_with('*') {
            true => words.iter().any(|word| word.starts_with(prefix)),
            false => words.contains(prefix),
        };
        if !exists {
            missing.push(name);
        }
    }
    assert!(checked > 50, "too few names found in the safety claims");
    assert!(
        missing.is_empty(),
        "named in documents, but missing: {missing:#?}"
    );
}

#[test]
fn types_named_in_the_glossary_exist() {
    let words = known_words();
    let mut missing = Vec::new();
    let mut checked = 0;
    for name in inline_code("docs/GLOSSARY.md") {
        let is_type = is_identifier(&name)
            && name.starts_with(|c: char| c.is_ascii_uppercase())
            && name.contains(|c: char| c.is_ascii_lowercase());
        if is_type {
            checked += 1;
            if !words.contains(&name) {
                missing.push(name);
            }
        }
    }
    assert!(checked > 20, "too few types found in the glossary");
    assert!(
        missing.is_empty(),
        "named in documents, but missing: {missing:#?}"
    );
}
