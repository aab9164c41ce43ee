//! Stand-ins for the review's scripts: the platform's store, replicas and
//! clients, and one scenario for each case. It uses the standard library only.
//!
//! Usage: `stand CASE FOLDER`. The exit code is 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run.

mod base;
mod drain;
mod instance;
mod limit;
mod lost;
mod replica;
mod stale;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: stand CASE FOLDER");
        std::process::exit(2);
    };
    let rec = base::Record::create(&format!("{folder}/record.txt"));
    rec.line(&format!("case {case}, with the disruption: {trouble}"));
    let verdict = match case.as_str() {
        "drain" => drain::run(&rec, trouble),
        "stale" => stale::run(&rec, trouble),
        "limit" => limit::run(&rec, trouble),
        "lost" => lost::run(&rec, trouble),
        _ => Err(format!("no case {case}")),
    };
    let code = match verdict {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(reason) => {
            rec.line(&format!("the case couldn't run: {reason}"));
            eprintln!("the case couldn't run: {reason}");
            2
        }
    };
    let text = ["the rule held", "the rule was BROKEN", "not run"][code as usize];
    rec.line(text);
    println!("{case}: {text}");
    std::process::exit(code);
}
