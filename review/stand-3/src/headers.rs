//! Some callers send requests with many short headers, within the
//! configuration's limits: are they answered?

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::node;
use crate::node::Deployment;
use crate::node::Node;
use crate::quota;
use crate::quota::Sent;
use crate::replica;
use crate::replica::Runs;
use crate::replica::Work;
use crate::store::Store;

/// Requests of the run, a tenth of which has many headers.
const REQUESTS: usize = 600;
const EVERY: usize = 10;

/// Further headers of a request, each of 18 bytes.
const MANY: usize = 120;
const FEW: usize = 60;

pub fn run(record: &Path, has_trouble: bool) -> i32 {
    crate::in_folder(|dir| play(record, has_trouble, dir))
}

fn play(record: &Path, has_trouble: bool, dir: PathBuf) -> i32 {
    let mut out = String::new();
    let store = Store::start("127.0.0.1");
    let deployment = Deployment {
        zones: vec![
            ("qc-a", "quebec"),
            ("on-a", "ontario"),
            ("mar-a", "maritimes"),
        ],
        dir,
        net: crate::net(),
        bounds: quota::BOUNDS.replace("budget_slack = 56", "budget_slack = 52"),
    };
    store.put("op/config", &quota::config_with(0.0, 0.0, 0.0, &[]));
    let runs: Runs = Arc::default();
    let work = Work {
        first: Duration::from_millis(20),
        pause: Duration::from_millis(5),
        events: 3,
    };
    for (zone, _) in &deployment.zones {
        for n in 0..3 {
            replica::start(&store, &format!("i-{zone}-{n}"), "model", zone, work, &runs);
        }
    }
    let mut nodes = node::deploy(&deployment, &store, &[2, 2, 2]);
    nodes.iter_mut().for_each(Node::start);
    if !node::wait_until_ready(&nodes, Duration::from_secs(10)) {
        eprintln!("the instances did not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(8));
    let start = Instant::now();
    let mut sent: Vec<Sent> = Vec::new();
    let mut denied: BTreeMap<u16, usize> = BTreeMap::new();
    let mut largest = 0;
    for k in 0..REQUESTS {
        let node = &nodes[k % nodes.len()];
        let count = match (k % EVERY == 0, has_trouble) {
            (true, true) => MANY,
            (true, false) => FEW,
            (false, _) => 2,
        };
        let id = format!("{:016x}", 0xa000 + k);
        let mut head = format!(
            "POST /gono990/2f HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: {:x}:800,{:x}:660\r\nRequest-Deadline: 6000\r\nAuthorization: Bearer {}\r\nContent-Length: 2\r\n",
            quota::HOST,
            0x5000 + k % 40,
            0x90000 + k,
            quota::KEY
        );
        for n in 0..count {
            let _ = write!(head, "X-Trace-{n:03}: {:02x}\r\n", n % 256);
        }
        head.push_str("\r\n");
        largest = largest.max(head.len());
        let at = Instant::now();
        let answer = http::ask(node.front, &head, b"hi", Duration::from_secs(6));
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let is_own = answer.is_some_and(|answer| answer.header("server-stamp").is_none());
        if is_own && (300..500).contains(&status) && ![408, 421, 429].contains(&status) {
            *denied.entry(status).or_default() += 1;
        }
        sent.push(Sent {
            at,
            id,
            node: node.name.clone(),
            status,
        });
    }
    let has_ended = nodes.iter_mut().any(Node::has_ended);
    drop(nodes);
    let runs = runs.lock().expect("the runs").clone();
    let count: usize = denied.values().sum();
    let allowed = 5 + REQUESTS / 500;
    let is_broken = count > allowed;
    let ends = quota::count_by_status(&sent);
    let summary = format!(
        "requests sent: {REQUESTS}, run: {}, by status (0: none): {ends:?}; largest head {largest} bytes of 16384\nended with a 3xx or 4xx of the instances' own: {count} {denied:?}; the rule allows {allowed}\nDENIED {}\n",
        runs.len(),
        if is_broken { "broken" } else { "held" }
    );
    print!("{summary}");
    out.push_str(&summary);
    quota::write_requests(&mut out, start, &sent, &runs);
    std::fs::write(record, out).expect("the record");
    match (has_ended, is_broken) {
        (true, _) => 2,
        (_, true) => 1,
        _ => 0,
    }
}
