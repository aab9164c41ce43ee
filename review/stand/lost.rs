//! The answer of one watch of the operator's keys is lost. Once the store has long
//! been stable again, a version takes a key away.

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

/// `config_apply_ms` and `contact_ms` of the settings.
const APPLY_MS: u64 = 3_000;
const CONTACT_MS: u64 = 5_000;

/// When the versions are written. The first one, of which nothing is lost, has the
/// watch begin anew.
const FIRST_AT_MS: u64 = 7_500;
const EARLIER_AT_MS: u64 = 8_000;
const REVOKED_AT_MS: u64 = EARLIER_AT_MS + CONTACT_MS + 1_000;

const END_MS: u64 = 32_000;

fn config(version: u32, timeout_ms: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
    {{"name":"status","hostname":"desk.example","path_prefix":"/status/","type":"idempotent","timeout_ms":{timeout_ms},"target_latency_ms":500,"priority":2,"service":"encargos-app","max_attempts":2,"public":false,"resumable":false}}],
    "services":[{{"name":"encargos-app","health_path":"/health","max_connections":110}}],
    "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
    "tenants":[{{"name":"parroquia","api_keys":[{keys}],"priority":2,"unit":"tokens","plain_tokens":200,"rate_per_s":400000,"burst":400000,"allowed_regions":[]}}]}}"#
    )
}

pub fn run(rec: &Record, trouble: bool) -> Result<bool, String> {
    let folder = Folder::create()?;
    let store = Store::start();
    let (entrance, own_entrance) = (store.entrance(0), store.entrance(1));
    store.put("op/config", &config(3, 4_000, r#""key-kept","key-taken""#));
    let arrivals: Arrivals = Arc::default();
    let _replicas: Vec<Replica> = ["i-1", "i-2"]
        .map(|name| Replica::start(name, "encargos-app", "lima-a", 20, &store, rec, &arrivals))
        .into();
    let instances = [
        Instance::start(&folder, 1, "lima-a", own_entrance, rec)?,
        Instance::start(&folder, 2, "lima-a", entrance, rec)?,
    ];
    for instance in &instances {
        instance.until_ready()?;
    }
    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let mut calls = Vec::new();
    let (mut is_first, mut is_earlier, mut acknowledged) = (false, false, None);
    for k in 0.. {
        if rec.now() >= END_MS {
            break;
        }
        if !is_first && rec.now() >= FIRST_AT_MS {
            store.put("op/config", &config(4, 3_950, r#""key-kept","key-taken""#));
            rec.line("version 4 changes a time-out; it is acknowledged");
            is_first = true;
        }
        if !is_earlier && rec.now() >= EARLIER_AT_MS {
            if trouble {
                store.lose_next_watch(1, "op/");
            }
            store.put("op/config", &config(5, 3_900, r#""key-kept","key-taken""#));
            rec.line("version 5 changes a time-out; it is acknowledged");
            is_earlier = true;
        }
        if acknowledged.is_none() && rec.now() >= REVOKED_AT_MS {
            store.put("op/config", &config(9, 3_900, r#""key-kept""#));
            acknowledged = Some(rec.now());
            rec.line("version 9 takes a key away; it is acknowledged");
        }
        for (n, instance) in instances.iter().enumerate() {
            let (rec, sent, front) = (rec.clone(), Arc::clone(&sent), instance.front);
            calls.push(std::thread::spawn(move || {
                let id = format!("k{n}x{k}");
                sent.lock().unwrap().insert(id.clone(), rec.now());
                rec.line(&format!(
                    "client sends {id} with the key that is taken away"
                ));
                let headers = [
                    ("Host", "desk.example"),
                    ("Request-Id", id.as_str()),
                    ("Request-Deadline", "8000"),
                    ("Authorization", "Bearer key-taken"),
                ];
                let got = call(front, "GET", "/status/1", &headers, b"", 8_500);
                rec.line(&format!(
                    "client gets {id}: {} {}",
                    got.text(),
                    got.header("server-stamp")
                ));
            }));
        }
        sleep_ms(100);
    }
    for call in calls {
        let _ = call.join();
    }
    rec.line(&format!(
        "answers of the store that were lost: {}",
        store.count_lost()
    ));
    if trouble && store.count_lost() != 1 {
        return Err("the answer wasn't lost".to_owned());
    }
    let acknowledged = acknowledged.ok_or("no change")?;
    let (arrivals, sent) = (arrivals.lock().unwrap(), sent.lock().unwrap());
    let ran = |n: usize, from: u64| {
        let of = format!("k{n}x");
        let of = arrivals.iter().filter(|a| a.id.starts_with(&of));
        let times: Vec<u64> = of
            .filter_map(|a| sent.get(&a.id).copied())
            .filter(|at| *at > from)
            .collect();
        (
            times.len(),
            times.iter().max().map_or(0, |at| at - acknowledged),
        )
    };
    let mut late = 0;
    for (n, instance) in instances.iter().enumerate() {
        let (after_apply, last) = ran(n, acknowledged + APPLY_MS);
        late += after_apply;
        let text = format!(
            "{}: run with the dropped key: {after_apply} requests sent more than {APPLY_MS} ms after the acknowledgement, the last {last} ms after",
            instance.name
        );
        rec.line(&text);
        println!("{text}");
    }
    Ok(late > 0)
}
