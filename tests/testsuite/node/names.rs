//! No name of the platform is known outside the adapter.

use std::path::Path;
use std::path::PathBuf;

use chiverelay_platform::protocol;

/// Headers that are not the platform's own.
const COMMON: [&str; 2] = ["last-event-id", "retry-after"];

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Returns the field names of the adapter's documents that are the platform's
/// own: those with an underscore that the rest of the project does not use.
fn field_names() -> Vec<String> {
    let adapter = Path::new(env!("CARGO_MANIFEST_DIR")).join("platform/src");
    let documents = ["catalog.rs", "records.rs", "store/documents.rs"];
    let mut names = Vec::new();
    for document in documents {
        let text = std::fs::read_to_string(adapter.join(document)).expect("a document");
        for line in text.lines().map(str::trim) {
            let line = line.strip_prefix("pub(super) ").unwrap_or(line);
            let Some((name, _)) = line.split_once(": ") else {
                continue;
            };
            let is_field = name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
            if is_field && OWN_FIELDS.contains(&name) {
                names.push(name.to_owned());
            }
        }
    }
    names.sort_unstable();
    names.dedup();
    names
}

/// Fields whose names no other part of the project has a use for.
const OWN_FIELDS: [&str; 14] = [
    "allowed_regions",
    "api_keys",
    "cold_per_s",
    "expected_revision",
    "gap_aim_ms",
    "kv_cache_tokens",
    "more_pages",
    "plain_tokens",
    "store_revision",
    "tombstone",
    "warmup_left_ms",
    "warmup_s",
    "weighted_backends",
    "target_latency_ms",
];

#[test]
fn names_stay_in_the_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("crates"), &mut files);
    let mut names = field_names();
    assert_eq!(names.len(), OWN_FIELDS.len(), "{names:?}");
    let headers = protocol::HEADERS.iter().filter(|h| !COMMON.contains(*h));
    names.extend(headers.map(|h| (*h).to_owned()));
    let paths = [
        protocol::READY_PATH,
        protocol::RESOLVE_PATH,
        protocol::LIST_PATH,
        protocol::WATCH_PATH,
        protocol::TRANSACTION_PATH,
        protocol::CATALOG_KEY,
        protocol::EVACUATED_PREFIX,
    ];
    names.extend(paths.map(str::to_owned));
    let mut leaks = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source file");
        for name in &names {
            // A word of prose such as "model" is no name; quoted it is one.
            let is_word = name.chars().all(|c| c.is_ascii_lowercase());
            let leaked = match is_word {
                true => text.contains(&format!("from_static(\"{name}\")")),
                false if protocol::HEADERS.contains(&name.as_str()) => {
                    text.contains(&format!("\"{name}\""))
                }
                false => text.contains(name.as_str()),
            };
            if leaked {
                leaks.push(format!("{}: {name}", file.display()));
            }
        }
    }
    assert!(leaks.is_empty(), "{leaks:#?}");
}
