//! A replica leaves without a word while the store cuts watches that wait.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::base::Got;
use crate::base::Record;
use crate::base::call;
use crate::base::sleep_ms;
use crate::instance::Folder;
use crate::instance::Instance;
use crate::replica::Arrivals;
use crate::replica::Replica;
use crate::store::Store;

/// `drain_ms` of the settings.
const DRAIN_MS: u64 = 3_000;

/// How long the replica serves beyond `drain_ms` ("a little longer").
const LONGER_MS: u64 = 1_000;

/// When the replica's entry is removed.
const LEAVE_AT_MS: u64 = 12_000;

/// When the watches that wait are cut: three times.
const CUTS_AT_MS: [u64; 3] = [LEAVE_AT_MS - 200, LEAVE_AT_MS + 1_600, LEAVE_AT_MS + 3_400];

const WORK_MS: u64 = 200;

fn config() -> &'static str {
    r#"{"version":3,"routes":[
    {"name":"deposit","hostname":"desk.example","path_prefix":"/deposit/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":500,"priority":2,"service":"encargos-app","max_attempts":1,"public":true,"resumable":false}],
    "services":[{"name":"encargos-app","health_path":"/health","max_connections":110}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
}

pub fn run(rec: &Record, trouble: bool) -> Result<bool, String> {
    let folder = Folder::create()?;
    let store = Store::start();
    let entrance = store.entrance(0);
    store.put("op/config", config());
    let arrivals: Arrivals = Arc::default();
    let start = |name: &str| {
        Replica::start(
            name,
            "encargos-app",
            "lima-a",
            WORK_MS,
            &store,
            rec,
            &arrivals,
        )
    };
    let leaver = start("i-leaver");
    let _stays: Vec<Replica> = ["i-stays-1", "i-stays-2"].map(start).into();
    let mut instances = Vec::new();
    for number in 1..=2 {
        instances.push(Instance::start(&folder, number, "lima-a", entrance, rec)?);
    }
    for instance in &instances {
        instance.until_ready()?;
    }
    // Clients, 20 a second at each instance.
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(u64, String, Got)>>> = Arc::default();
    let mut clients = Vec::new();
    for (n, instance) in instances.iter().enumerate() {
        let (front, rec) = (instance.front, rec.clone());
        let (is_over, answers) = (Arc::clone(&is_over), Arc::clone(&answers));
        clients.push(std::thread::spawn(move || {
            let mut calls = Vec::new();
            for k in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let (rec, answers) = (rec.clone(), Arc::clone(&answers));
                calls.push(std::thread::spawn(move || {
                    let id = format!("r{n}x{k}");
                    let sent = rec.now();
                    rec.line(&format!("client sends {id}"));
                    let headers = [
                        ("Host", "desk.example"),
                        ("Request-Id", id.as_str()),
                        ("Request-Deadline", "8000"),
                    ];
                    let got = call(front, "POST", "/deposit/1", &headers, b"deposit", 8_500);
                    rec.line(&format!(
                        "client gets {id}: {} {}",
                        got.text(),
                        got.header("server-stamp")
                    ));
                    answers.lock().unwrap().push((sent, id, got));
                }));
                sleep_ms(50);
            }
            for call in calls {
                let _ = call.join();
            }
        }));
    }
    let mut acknowledged = None;
    let mut cuts = CUTS_AT_MS.iter().peekable();
    let mut exited = false;
    let end = LEAVE_AT_MS + DRAIN_MS + LONGER_MS + 3_000;
    while rec.now() < end {
        if trouble && cuts.next_if(|at| rec.now() >= **at).is_some() {
            rec.line("the store cuts the watches that wait");
            store.cut_watches();
        }
        if acknowledged.is_none() && rec.now() >= LEAVE_AT_MS {
            leaver.leave_silently();
            acknowledged = Some(rec.now());
            rec.line("the entry of i-leaver is removed");
        }
        if !exited && acknowledged.is_some_and(|at| rec.now() >= at + DRAIN_MS + LONGER_MS) {
            rec.line("i-leaver exits");
            leaver.exit();
            exited = true;
        }
        sleep_ms(5);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let acknowledged = acknowledged.ok_or("the replica didn't leave")?;
    let arrivals = arrivals.lock().unwrap();
    let at_leaver = || arrivals.iter().filter(|a| a.replica == "i-leaver");
    let before = at_leaver().filter(|a| a.at < acknowledged).count();
    let late: Vec<_> = at_leaver()
        .filter(|a| a.at > acknowledged + DRAIN_MS)
        .collect();
    let lost = late.iter().filter(|a| !a.is_answered).count();
    let answers = answers.lock().unwrap();
    let statuses = |from: u64| {
        let mut counts = std::collections::BTreeMap::new();
        for (_, _, got) in answers.iter().filter(|(sent, _, _)| *sent >= from) {
            *counts.entry(got.text()).or_insert(0) += 1;
        }
        format!("{counts:?}")
    };
    rec.line(&format!(
        "answers: {}; to requests sent since the entry went: {}",
        statuses(0),
        statuses(acknowledged)
    ));
    rec.line(&format!(
        "at i-leaver: {before} requests before its entry went, {} later than {DRAIN_MS} ms after, of which {lost} ended with it",
        late.len()
    ));
    println!(
        "late at the leaving replica: {}, of which {lost} ended with it",
        late.len()
    );
    if before == 0 || answers.is_empty() {
        return Err("the replica got no request before it left".to_owned());
    }
    Ok(!late.is_empty())
}
