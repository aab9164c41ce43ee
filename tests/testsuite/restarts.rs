//! Rolling restarts under deposits, each marked with a ticket.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::caller;
use support::caller::Answer;
use support::shop::Shop;
use support::site::Site;
use support::site::eventually;
use tokio_util::sync::CancellationToken;

const TWO: [(&str, &str); 2] = [("lima-1", "lima"), ("lima-2", "lima")];

/// Callers of the steady load.
const CALLERS: usize = 3;

/// A deposit that was answered.
#[derive(Clone, Debug)]
struct Deposit {
    ticket: String,
    body: Value,
    text: String,
}

async fn deposit(
    address: SocketAddr,
    key: &str,
    ticket: &str,
    body: &Value,
) -> Result<Answer, String> {
    let headers = [("x-operation-ticket", ticket)];
    caller::post_with(address, "/deposits", key, &headers, body).await
}

/// What the callers know and count together.
#[derive(Default)]
struct Callers {
    key: String,
    known: Mutex<Vec<SocketAddr>>,
    answered: Mutex<Vec<Deposit>>,
    failed: Mutex<Vec<String>>,
}

impl Callers {
    fn pick(&self, turn: usize) -> SocketAddr {
        let known = self.known.lock().expect("a list");
        known[turn % known.len()]
    }

    /// Takes a ticket and the list of instances.
    async fn ticket(&self, address: SocketAddr) -> Option<String> {
        let list = caller::get(address, "/v1/instances").await.ok()?.json();
        let found = list["instances"].as_array()?.iter();
        let found: Vec<SocketAddr> = found
            .filter_map(|i| i["address"].as_str()?.parse().ok())
            .collect();
        if !found.is_empty() {
            *self.known.lock().expect("a list") = found;
        }
        Some(list["tickets"][0].as_str()?.to_owned())
    }

    /// Deposits, elsewhere if a listener is closed.
    async fn run(&self, seat: usize, stop: &CancellationToken) {
        for turn in 0.. {
            if stop.is_cancelled() {
                return;
            }
            let Some(ticket) = self.ticket(self.pick(seat + turn)).await else {
                continue;
            };
            let body = json!({"seat": seat, "turn": turn});
            for at in turn.. {
                let address = self.pick(seat + at + 1);
                match deposit(address, &self.key, &ticket, &body).await {
                    Err(e) if e.contains("refused") => continue,
                    end => self.count(
                        Deposit {
                            ticket,
                            body,
                            text: String::new(),
                        },
                        end,
                    ),
                }
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    fn count(&self, deposit: Deposit, end: Result<Answer, String>) {
        match end {
            Ok(answer) if answer.status == 200 && answer.whole => {
                let text = answer.text();
                let mut answered = self.answered.lock().expect("a list");
                answered.push(Deposit { text, ..deposit });
            }
            end => self.failed.lock().expect("a list").push(format!("{end:?}")),
        }
    }

    /// Asks again for every deposit at every instance.
    async fn ask_again(&self, site: &Site) {
        let answered = self.answered.lock().expect("a list").clone();
        for daemon in site.daemons.values() {
            for d in &answered {
                eventually("the recorded answer", async || {
                    let again = deposit(daemon.caller, &self.key, &d.ticket, &d.body).await;
                    let again = again.expect("an answer");
                    if again.status != 200 {
                        assert_eq!(again.refusal().1, "unknown", "{}", again.text());
                        return false;
                    }
                    again.text() == d.text && again.headers.contains_key("idempotent-replayed")
                })
                .await;
            }
        }
    }
}

#[test]
fn deposits_run_once_and_are_answered_again() {
    block_on(async {
        let mut shop = Shop::at(Site::start(&TWO).await, "lima").await;
        let callers = Arc::new(Callers {
            key: shop.key.clone(),
            ..Callers::default()
        });
        let addresses = shop.site.daemons.values().map(|d| d.caller);
        *callers.known.lock().expect("a list") = addresses.collect();
        let stop = CancellationToken::new();
        let running: Vec<_> = (0..CALLERS)
            .map(|seat| {
                let (callers, stop) = (Arc::clone(&callers), stop.clone());
                tokio::spawn(async move { callers.run(seat, &stop).await })
            })
            .collect();
        for (name, region) in TWO {
            let mut old = shop.site.daemons.remove(name).expect("a daemon");
            old.process.terminate();
            let ended = tokio::task::spawn_blocking(move || old.process.wait());
            assert!(ended.await.expect("the process ends"), "{name} ended badly");
            shop.site.start_daemon(name, region, &json!({}));
            shop.site.joined().await;
            shop.site.in_force(2).await;
            callers.ask_again(&shop.site).await;
        }
        stop.cancel();
        for caller in running {
            caller.await.expect("a caller ends");
        }
        callers.ask_again(&shop.site).await;
        let failed = callers.failed.lock().expect("a list");
        assert!(failed.is_empty(), "{failed:#?}");
        let answered = callers.answered.lock().expect("a list").len();
        assert!(answered > 20, "only {answered} deposits");
        let runs: BTreeMap<String, u64> = shop.service.runs();
        assert_eq!(runs.len(), answered);
        assert!(runs.values().all(|runs| *runs == 1), "{runs:#?}");
    });
}
