//! All machines lose power and come back while the store is slow: how many tokens
//! of one tenant do the replicas run in `quota_window_s`?

use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::node;
use crate::node::Deployment;
use crate::node::Node;
use crate::replica;
use crate::replica::Runs;
use crate::replica::Work;
use crate::store::Store;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// The tenant's limit, in tokens a second; its burst is one second of it.
const RATE: f64 = 600_000.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 190_000.0;
const WINDOW: f64 = 8.0;

/// Tokens of each request: 17,020 in and 120 out.
const TOKENS: f64 = 17_140.0;

/// Requests a second of the tenant at each machine.
const HOT_PER_NODE: f64 = 18.0;

/// Time for an answer of the store while it is slow: 60 times the usual.
const SLOW: Duration = Duration::from_millis(240);

/// Machines in each zone.
const MACHINES: [usize; 3] = [3, 3, 2];

pub const BOUNDS: &str = "seed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 5000\nack_ms = 6000\ncatch_up_s = 4\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\nmax_stretch_ms = 8000\nstrict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 56\nquota_window_s = 8\nquota_overage = 0.1\nquota_slack = 190000\ncold_overage = 1.5\ncold_slack = 3\nevacuate_ms = 5000\nrecovery_s = 12\npass_ms = 600\nreuse_window_s = 10\nttl_max_s = 5\n";

#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub id: String,
    pub node: String,
    pub status: u16,
}

pub fn config() -> String {
    config_with(0.0, 0.0, RATE, &[])
}

/// A configuration with one service, one route, bound to `homes`, and one
/// tenant.
pub fn config_with(cold_per_s: f64, warmup_s: f64, rate: f64, homes: &[&str]) -> String {
    let homes: Vec<String> = homes.iter().map(|home| format!("\"{home}\"")).collect();
    let homes = homes.join(",");
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/gono990/\",\"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":600,\"priority\":1,\"service\":\"model\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":200,\"allowed_regions\":[{homes}]}}],\"services\":[{{\"name\":\"model\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":{warmup_s},\"cold_per_s\":{cold_per_s},\"engine\":{{\"slots\":64,\"kv_cache_tokens\":370994,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":{rate},\"burst\":{rate},\"allowed_regions\":[]}}]}}"
    )
}

/// Sends requests to one machine at a rate until `stop`.
fn load(n: usize, node: &Node, per_s: f64, stop: &Arc<AtomicBool>, sent: &Arc<Mutex<Vec<Sent>>>) {
    let (front, name) = (node.front, node.name.clone());
    let (stop, sent) = (Arc::clone(stop), Arc::clone(sent));
    std::thread::spawn(move || {
        let began = Instant::now();
        for k in 0.. {
            let due = began + Duration::from_secs_f64(f64::from(k) / per_s);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let (sent, name) = (Arc::clone(&sent), name.clone());
            let spawned = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let id = format!("{n:04x}{k:012x}");
                let part = (k * 7 + n as i32) % 60;
                let body = vec![b'x'; 2000];
                let head = format!(
                    "POST /gono990/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 17020,120\r\nPrompt-Prefix: {:x}:13300,{n:x}{k:x}:3720\r\nRequest-Deadline: 6000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
                    0x5000 + part,
                    body.len()
                );
                let at = Instant::now();
                let answer = http::ask(front, &head, &body, Duration::from_secs(6));
                let status = answer.map_or(0, |answer| answer.status());
                sent.lock().expect("what was sent").push(Sent { at, id, node: name, status });
            });
            let _ = spawned;
        }
    });
}

pub fn run(record: &Path, has_trouble: bool) -> i32 {
    crate::in_folder(|dir| play(record, has_trouble, dir))
}

fn play(record: &Path, has_trouble: bool, dir: std::path::PathBuf) -> i32 {
    let mut out = String::new();
    let start = Instant::now();
    let store = Store::start("127.0.0.1");
    let runs: Runs = Arc::default();
    let deployment = Deployment {
        zones: vec![
            ("lima-a", "lima"),
            ("arequipa-a", "arequipa"),
            ("cusco-a", "cusco"),
        ],
        dir,
        net: crate::net(),
        bounds: BOUNDS.to_owned(),
    };
    store.put("op/config", &config());
    let work = Work {
        first: Duration::from_millis(60),
        pause: Duration::from_millis(10),
        events: 3,
    };
    for (zone, _) in &deployment.zones {
        for n in 0..3 {
            replica::start(&store, &format!("i-{zone}-{n}"), "model", zone, work, &runs);
        }
    }
    let mut nodes = node::deploy(&deployment, &store, &MACHINES);
    nodes.iter_mut().for_each(Node::start);
    if !node::wait_until_ready(&nodes, Duration::from_secs(10)) {
        eprintln!("the instances did not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));
    let _ = writeln!(
        out,
        "{:8.3} instances are ready; the tenant begins to send",
        start.elapsed().as_secs_f64()
    );
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    for (n, node) in nodes.iter().enumerate() {
        load(n, node, HOT_PER_NODE, &stop, &sent);
    }
    std::thread::sleep(Duration::from_secs(10));
    if has_trouble {
        let _ = writeln!(
            out,
            "{:8.3} all machines lose power for 5 s",
            start.elapsed().as_secs_f64()
        );
        nodes.iter_mut().for_each(Node::kill);
        std::thread::sleep(Duration::from_secs(5));
        store.set_delay(SLOW);
        nodes.iter_mut().for_each(Node::start);
        let _ = writeln!(
            out,
            "{:8.3} all machines start; an answer of the store takes {SLOW:?}",
            start.elapsed().as_secs_f64()
        );
        std::thread::sleep(Duration::from_millis(4500));
        store.set_delay(Duration::from_millis(4));
        let _ = writeln!(
            out,
            "{:8.3} the store serves as usual",
            start.elapsed().as_secs_f64()
        );
        std::thread::sleep(Duration::from_secs(12));
    } else {
        std::thread::sleep(Duration::from_secs(22));
    }
    stop.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(3));
    let ended = nodes
        .iter_mut()
        .filter_map(|node| node.has_ended().then(|| node.name.clone()));
    let ended: Vec<String> = ended.collect();
    drop(nodes);
    let sent = sent.lock().expect("what was sent").clone();
    let runs = runs.lock().expect("the runs").clone();
    judge(record, out, start, &sent, &runs, &ended)
}

/// Checks the rule: in no window more tokens of the tenant are both sent and
/// run than its limit allows.
fn judge(
    record: &Path,
    mut out: String,
    start: Instant,
    sent: &[Sent],
    runs: &[replica::Run],
    ended: &[String],
) -> i32 {
    let at = |t: Instant| t.duration_since(start).as_secs_f64();
    let sent_at: std::collections::HashMap<&str, f64> =
        sent.iter().map(|s| (s.id.as_str(), at(s.at))).collect();
    let mut pairs: Vec<(f64, f64, f64)> = Vec::new();
    for run in runs {
        if let Some(sent) = sent_at.get(run.id.as_str()) {
            pairs.push((at(run.at), *sent, run.tokens as f64));
        }
    }
    pairs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let limit = (RATE * WINDOW + RATE) * (1.0 + OVERAGE) + SLACK;
    let mut worst = (0.0, 0.0);
    for (end, _, _) in &pairs {
        let begin = end - WINDOW;
        let inside = pairs
            .iter()
            .filter(|(run, sent, _)| *run > begin && *run <= *end && *sent > begin);
        let sum: f64 = inside.map(|(_, _, tokens)| tokens).sum();
        if sum > worst.0 {
            worst = (sum, *end);
        }
    }
    let ends = count_by_status(sent);
    let _ = writeln!(
        out,
        "requests of {TOKENS} tokens sent: {}, run: {}, by status (0: none): {ends:?}",
        sent.len(),
        runs.len()
    );
    if !ended.is_empty() {
        let _ = writeln!(out, "ended by themselves: {ended:?}");
    }
    let _ = writeln!(
        out,
        "most tokens sent and run within {WINDOW} s: {:.0}, up to {:.3}; the rule allows {limit:.0}",
        worst.0, worst.1
    );
    let is_broken = worst.0 > limit;
    let _ = writeln!(out, "QUOTA {}", if is_broken { "broken" } else { "held" });
    print!("{out}");
    write_requests(&mut out, start, sent, runs);
    std::fs::write(record, out).expect("the record");
    match (sent.is_empty(), is_broken) {
        (true, _) => 2,
        (_, true) => 1,
        _ => 0,
    }
}

pub fn count_by_status(sent: &[Sent]) -> std::collections::BTreeMap<u16, usize> {
    let mut counts = std::collections::BTreeMap::new();
    for s in sent {
        *counts.entry(s.status).or_default() += 1;
    }
    counts
}

/// Writes what was sent, answered and run.
pub fn write_requests(out: &mut String, start: Instant, sent: &[Sent], runs: &[replica::Run]) {
    let at = |t: Instant| t.duration_since(start).as_secs_f64();
    let mut sorted = sent.to_vec();
    sorted.sort_by_key(|s| s.at);
    for s in &sorted {
        let _ = writeln!(
            out,
            "sent {:8.3} {} to {} status {}",
            at(s.at),
            s.id,
            s.node,
            s.status
        );
    }
    for run in runs {
        let _ = writeln!(
            out,
            "run  {:8.3} {} at {} tenant {} tokens {}",
            at(run.at),
            run.id,
            run.replica,
            run.tenant,
            run.tokens
        );
    }
}
