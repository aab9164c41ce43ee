//! A machine is lost for good as the store goes down: for how long do the
//! directories name it?

use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use crate::node;
use crate::node::Deployment;
use crate::node::Node;
use crate::quota;
use crate::store::Store;

const CONTACT: Duration = Duration::from_millis(5000);

/// Time after its end from which on a machine must not be named.
const NAMED: Duration = Duration::from_millis(8000);

/// Most answers of the directory that may name it later.
const ALLOWED: usize = 3;

const DOWN: Duration = Duration::from_millis(4500);

pub fn run(record: &Path, has_trouble: bool) -> i32 {
    crate::in_folder(|dir| play(record, has_trouble, dir))
}

fn play(record: &Path, has_trouble: bool, dir: PathBuf) -> i32 {
    let mut out = String::new();
    let store = Store::start("127.0.0.1");
    let deployment = Deployment {
        zones: vec![
            ("lima-a", "lima"),
            ("arequipa-a", "arequipa"),
            ("cusco-a", "cusco"),
        ],
        dir,
        net: crate::net(),
        bounds: quota::BOUNDS.to_owned(),
    };
    store.put("op/config", &quota::config());
    let mut nodes = node::deploy(&deployment, &store, &[3, 3, 2]);
    nodes.iter_mut().for_each(Node::start);
    if !node::wait_until_ready(&nodes, Duration::from_secs(10)) {
        eprintln!("the instances did not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_millis(9400));
    let start = Instant::now();
    let lost = nodes[0].front.to_string();
    let stable_from = if has_trouble {
        let _ = writeln!(
            out,
            "{:8.3} {} at {lost} loses power for good",
            0.0, nodes[0].name
        );
        nodes[0].kill();
        std::thread::sleep(Duration::from_millis(100));
        store.set_down(true);
        let _ = writeln!(
            out,
            "{:8.3} the store is down",
            start.elapsed().as_secs_f64()
        );
        std::thread::sleep(DOWN);
        store.set_down(false);
        let _ = writeln!(
            out,
            "{:8.3} the store serves again",
            start.elapsed().as_secs_f64()
        );
        start.elapsed() + CONTACT
    } else {
        CONTACT
    };
    // A watch that is waiting may be cut.
    let mut next_cut = Duration::from_millis(5300);
    let mut named = 0;
    let mut answers = 0;
    while start.elapsed() < Duration::from_secs(16) {
        if start.elapsed() >= next_cut {
            store.cut_watches();
            next_cut += Duration::from_secs(1);
            let _ = writeln!(
                out,
                "{:8.3} waiting watches are cut",
                start.elapsed().as_secs_f64()
            );
        }
        for node in &nodes[1..3] {
            let at = start.elapsed();
            let answer = node.resolve(quota::HOST, node.region, node.zone);
            answers += usize::from(!answer.is_empty());
            let is_named = answer.contains(&format!("\"{lost}\""));
            let is_beside = answer.matches(':').count() > 3;
            let is_late = at >= NAMED && at >= stable_from;
            if has_trouble && is_named && is_beside && is_late {
                named += 1;
            }
            let _ = writeln!(
                out,
                "{:8.3} {} answers {answer}",
                at.as_secs_f64(),
                node.name
            );
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    for (at, line) in store.take_log() {
        if let Some(at) = at.checked_duration_since(start) {
            let _ = writeln!(out, "{:8.3} store: {line}", at.as_secs_f64());
        }
    }
    let ended = nodes[1..].iter_mut().any(Node::has_ended);
    drop(nodes);
    let is_broken = named > ALLOWED;
    let summary = format!(
        "answers of the directory: {answers}; by machines in touch, over {} s after the loss, named {named} times (3 are allowed)\nDRAIN {}\n",
        NAMED.as_secs(),
        if is_broken { "broken" } else { "held" }
    );
    print!("{summary}");
    std::fs::write(record, format!("{summary}{out}")).expect("the record");
    match (answers == 0 || ended, is_broken) {
        (true, _) => 2,
        (_, true) => 1,
        _ => 0,
    }
}
