//! Some instances are cut off from the store, and the others are killed and
//! start again meanwhile: the limit of a tenant is shared out anew among them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::base::Record;
use crate::base::call;
use crate::base::sleep_ms;
use crate::instance::Folder;
use crate::instance::Instance;
use crate::replica::Arrivals;
use crate::replica::Replica;
use crate::store::Store;

const RATE_PER_S: u64 = 400_000;
const BURST: u64 = 400_000;

/// `quota_window_s`, `quota_overage` and `quota_slack` of the settings.
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 190_000.0;

/// Where the store has the entries of the instances.
const INSTANCES: &str = "chiverelay/instances/";

/// How long the instances are cut off.
const CUT_MS: u64 = 12_000;

/// Tokens of a request, in and out.
const TOKENS_IN: u64 = 17_020;
const TOKENS_OUT: u64 = 120;

/// Time between two requests of the tenant at one instance, usually and while it
/// sends many times its usual.
const USUAL_MS: u64 = 700;
const HOT_MS: u64 = 90;

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[
    {{"name":"status","hostname":"desk.example","path_prefix":"/status/","type":"idempotent","timeout_ms":4000,"target_latency_ms":500,"priority":2,"service":"encargos-app","max_attempts":2,"public":false,"resumable":false}}],
    "services":[{{"name":"encargos-app","health_path":"/health","max_connections":110}}],
    "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
    "tenants":[{{"name":"parroquia","api_keys":["key-of-parroquia"],"priority":2,"unit":"tokens","plain_tokens":200,"rate_per_s":{RATE_PER_S},"burst":{BURST},"allowed_regions":[]}}]}}"#
    )
}

/// The zone of each instance; the first three are cut off.
const ZONES: [&str; 8] = [
    "arequipa-a",
    "arequipa-a",
    "arequipa-a",
    "lima-a",
    "lima-a",
    "lima-a",
    "cusco-a",
    "cusco-a",
];
const CUT: usize = 3;

pub fn run(rec: &Record, trouble: bool) -> Result<bool, String> {
    let folder = Folder::create()?;
    let store = Store::start();
    let entrances = [store.entrance(0), store.entrance(1)];
    store.put("op/config", &config());
    let arrivals: Arrivals = Arc::default();
    let _replicas: Vec<Replica> = ["lima-a", "arequipa-a", "cusco-a"]
        .map(|zone| {
            Replica::start(
                &format!("i-{zone}"),
                "encargos-app",
                zone,
                5,
                &store,
                rec,
                &arrivals,
            )
        })
        .into();
    let mut instances = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let entrance = entrances[usize::from(i < CUT)];
        instances.push(Instance::start(&folder, i as u8 + 1, zone, entrance, rec)?);
    }
    for instance in &instances {
        instance.until_ready()?;
    }
    let pause = Arc::new(AtomicU64::new(USUAL_MS));
    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let mut clients = Vec::new();
    for (n, instance) in instances.iter().enumerate() {
        let (front, rec) = (instance.front, rec.clone());
        let (pause, sent) = (Arc::clone(&pause), Arc::clone(&sent));
        clients.push(std::thread::spawn(move || {
            for k in 0.. {
                let wait = pause.load(Ordering::SeqCst);
                if wait == 0 {
                    return;
                }
                let (rec, sent) = (rec.clone(), Arc::clone(&sent));
                std::thread::spawn(move || {
                    let id = format!("q{n}x{k}");
                    sent.lock().unwrap().insert(id.clone(), rec.now());
                    rec.line(&format!("client sends {id}"));
                    let usage = format!("{TOKENS_IN},{TOKENS_OUT}");
                    let headers = [
                        ("Host", "desk.example"),
                        ("Request-Id", id.as_str()),
                        ("Request-Deadline", "8000"),
                        ("Token-Usage", usage.as_str()),
                        ("Authorization", "Bearer key-of-parroquia"),
                    ];
                    let got = call(front, "GET", "/status/1", &headers, b"", 8_500);
                    rec.line(&format!(
                        "client gets {id}: {} {}",
                        got.text(),
                        got.header("server-stamp")
                    ));
                });
                sleep_ms(wait);
            }
        }));
    }
    // Until all are long in touch and all buckets are full.
    sleep_ms(8_000);
    let cut_at = rec.now();
    let until = |at: u64| sleep_ms((cut_at + at).saturating_sub(rec.now()));
    if trouble {
        store.close(1);
        rec.line(&format!(
            "{CUT} of {} instances are cut off from the store",
            ZONES.len()
        ));
        // Their leases end, as they aren't renewed.
        while store.count(INSTANCES) > ZONES.len() - CUT {
            if rec.now() > cut_at + 6_000 {
                return Err("the entries of the instances don't end".to_owned());
            }
            sleep_ms(5);
        }
        rec.line(&format!(
            "entries of instances in the store: {}",
            store.count(INSTANCES)
        ));
        for instance in &mut instances[CUT..] {
            instance.kill();
        }
        sleep_ms(300);
        for instance in &mut instances[CUT..] {
            instance.start_again()?;
        }
        for instance in &instances[CUT..] {
            instance.until_ready()?;
        }
    }
    // The shares of the instances that started again fill up.
    sleep_ms(1_400);
    rec.line("the tenant sends many times its usual");
    pause.store(HOT_MS, Ordering::SeqCst);
    until(CUT_MS);
    if trouble {
        store.open(1);
        rec.line("the cut heals");
    }
    until(CUT_MS + 6_000);
    pause.store(0, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(1_000);
    let (arrivals, sent) = (arrivals.lock().unwrap(), sent.lock().unwrap());
    let mut ran: Vec<(u64, u64, u64)> = arrivals
        .iter()
        .filter_map(|a| Some((*sent.get(&a.id)?, a.at, a.tokens)))
        .collect();
    ran.sort_unstable();
    let sum_from = |from: u64| -> u64 {
        let within = ran
            .iter()
            .filter(|(sent, at, _)| *sent >= from && *at < from + WINDOW_MS);
        within.map(|(_, _, tokens)| tokens).sum()
    };
    let (most, from) = ran
        .iter()
        .map(|(sent, _, _)| (sum_from(*sent), *sent))
        .max()
        .ok_or("nothing ran")?;
    let window_s = WINDOW_MS as f64 / 1000.0;
    let limit = (RATE_PER_S as f64 * window_s + BURST as f64) * (1.0 + OVERAGE) + SLACK;
    rec.line(&format!("most tokens in a window of {WINDOW_MS} ms: {most}, from {from} ms on; the rule allows {limit:.0}"));
    println!("most tokens in {window_s} s: {most}; the rule allows {limit:.0}");
    Ok(most as f64 > limit)
}
