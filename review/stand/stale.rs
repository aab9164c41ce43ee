//! An instance is cut off from the store while a version moves a route to
//! another service, and another instance goes on forwarding requests to it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use crate::base::Record;
use crate::base::call;
use crate::base::sleep_ms;
use crate::instance::Folder;
use crate::instance::Instance;
use crate::replica::Arrivals;
use crate::replica::Replica;
use crate::store::Store;

/// `rollback_slack_ms` of the settings.
const ROLLBACK_SLACK_MS: u64 = 250;

/// How long the instance is cut off.
const CUT_MS: u64 = 5_500;

const OLD: &str = "encargos-app";
const NEW: &str = "encargos-nueva";

fn config(version: u32, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
    {{"name":"status","hostname":"desk.example","path_prefix":"/status/","type":"idempotent","timeout_ms":4000,"target_latency_ms":500,"priority":2,"service":"{service}","max_attempts":2,"public":true,"resumable":false}}],
    "services":[{{"name":"{OLD}","health_path":"/health","max_connections":110}},{{"name":"{NEW}","health_path":"/health","max_connections":110}}],
    "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

pub fn run(rec: &Record, trouble: bool) -> Result<bool, String> {
    let folder = Folder::create()?;
    let store = Store::start();
    let (entrance, own_entrance) = (store.entrance(0), store.entrance(1));
    store.put("op/config", &config(3, OLD));
    let arrivals: Arrivals = Arc::default();
    let start = |(name, service, zone): (&str, &str, &str)| {
        Replica::start(name, service, zone, 20, &store, rec, &arrivals)
    };
    // The new service runs in one region so far.
    let _replicas: Vec<Replica> = [
        ("i-old-lima", OLD, "lima-a"),
        ("i-old-cusco", OLD, "cusco-a"),
        ("i-new-cusco-1", NEW, "cusco-a"),
        ("i-new-cusco-2", NEW, "cusco-a"),
    ]
    .map(start)
    .into();
    let instances = [
        Instance::start(&folder, 1, "lima-a", entrance, rec)?,
        Instance::start(&folder, 2, "cusco-a", entrance, rec)?,
        Instance::start(&folder, 3, "cusco-a", own_entrance, rec)?,
    ];
    for instance in &instances {
        instance.until_ready()?;
    }
    let front = instances[0].front;
    // Until all are long in touch.
    let changed_at = rec.now().max(2_000) + 6_000;
    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let mut calls = Vec::new();
    let (mut acknowledged, mut is_cut, mut is_healed) = (None, false, false);
    for k in 0.. {
        if rec.now() >= changed_at + CUT_MS + 2_000 {
            break;
        }
        if trouble && !is_cut && rec.now() >= changed_at - 300 {
            rec.line(&format!("{} is cut off from the store", instances[2].name));
            store.close(1);
            is_cut = true;
        }
        if acknowledged.is_none() && rec.now() >= changed_at {
            store.put("op/config", &config(8, NEW));
            acknowledged = Some(rec.now());
            rec.line("version 8 moves the route to the new service; it is acknowledged");
        }
        if is_cut && !is_healed && rec.now() >= changed_at - 300 + CUT_MS {
            rec.line("the cut heals");
            store.open(1);
            is_healed = true;
        }
        let (rec, sent) = (rec.clone(), Arc::clone(&sent));
        calls.push(std::thread::spawn(move || {
            let id = format!("s{k}");
            sent.lock().unwrap().insert(id.clone(), rec.now());
            rec.line(&format!("client sends {id} to the instance in lima"));
            let headers = [
                ("Host", "desk.example"),
                ("Request-Id", id.as_str()),
                ("Request-Deadline", "8000"),
            ];
            let got = call(front, "GET", "/status/1", &headers, b"", 8_500);
            rec.line(&format!(
                "client gets {id}: {} {}",
                got.text(),
                got.header("server-stamp")
            ));
        }));
        sleep_ms(25);
    }
    for call in calls {
        let _ = call.join();
    }
    let acknowledged = acknowledged.ok_or("no change")?;
    let (arrivals, sent) = (arrivals.lock().unwrap(), sent.lock().unwrap());
    let of = |service: &'static str| arrivals.iter().filter(move |a| a.service == service);
    let first_effect = of(NEW)
        .map(|a| a.at)
        .min()
        .ok_or("the version had no effect")?;
    let by_old: Vec<u64> = of(OLD)
        .filter_map(|a| sent.get(&a.id).copied())
        .filter(|sent| *sent > first_effect + ROLLBACK_SLACK_MS)
        .collect();
    let after = sent
        .values()
        .filter(|at| **at > first_effect + ROLLBACK_SLACK_MS)
        .count();
    let late = by_old
        .iter()
        .filter(|at| **at > acknowledged + 3_000)
        .count();
    rec.line(&format!(
        "acknowledged at {acknowledged} ms, first effect at a replica at {first_effect} ms; of {after} requests sent more than {ROLLBACK_SLACK_MS} ms after that, {} were run by the old service, {late} of them sent more than 3000 ms after the acknowledgement",
        by_old.len()
    ));
    println!(
        "run by the old service, though the same instance had shown the new version: {} of {after}",
        by_old.len()
    );
    Ok(!by_old.is_empty())
}
