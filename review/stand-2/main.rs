//! Stand-ins and cases of the second review. `main CASE` runs one.
mod base;
mod cold;
mod memory;
mod replica;
mod stale;
mod store;

use std::sync::Arc;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(base::Record::create(
        &std::env::var("RECORD").unwrap_or("record.txt".into()),
    ));
    let code = match case.as_str() {
        "cold" => cold::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "stale" => stale::run(&record, trouble),
        _ => base::COULD_NOT_RUN,
    };
    std::process::exit(code);
}
