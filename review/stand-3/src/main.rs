//! The scripts of `review/`: each starts instances of the project before
//! stand-ins, disturbs them as the users' pages say, and checks one rule.

mod directory;
mod headers;
mod http;
mod json;
mod node;
mod quota;
mod replica;
mod store;

use std::path::PathBuf;

/// Runs a script with a temporary folder.
pub fn in_folder<F>(play: F) -> i32
where
    F: FnOnce(PathBuf) -> i32,
{
    let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let code = play(dir.clone());
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(dir);
    }
    code
}

/// Returns the second and third byte of the addresses of this run's machines.
pub fn net() -> (u8, u8) {
    let pid = std::process::id();
    ((pid % 250 + 2) as u8, (pid / 250 % 250 + 1) as u8)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, script, record] = args.as_slice() else {
        eprintln!("usage: stand-3 SCRIPT RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = PathBuf::from(record);
    let code = match script.as_str() {
        "directory" => directory::run(&record, has_trouble),
        "headers" => headers::run(&record, has_trouble),
        "quota" => quota::run(&record, has_trouble),
        _ => 2,
    };
    std::process::exit(code);
}
