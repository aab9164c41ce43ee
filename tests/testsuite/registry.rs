//! The registry's client before the stand-in.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::membership::Profile;
use chiverelay_registry::Listed;
use chiverelay_registry::Registry;
use chiverelay_registry::api::CRITICAL;
use chiverelay_registry::api::PASSING;
use chiverelay_standin::faults::Faults;
use chiverelay_standin::registry as standin;
use support::block_on;
use support::cases;
use support::platform::listener;
use tokio_util::sync::CancellationToken;

async fn start(lag: Duration) -> (Arc<standin::Registry>, Registry) {
    let state = Arc::new(standin::Registry::new(lag));
    let (listener, address) = listener().await;
    let serve = standin::serve(Arc::clone(&state), listener, CancellationToken::new());
    tokio::spawn(serve);
    (state, Registry::new(address, Duration::from_secs(20)))
}

fn profile() -> Profile {
    let address = |text: &str| text.parse().expect("an address");
    Profile {
        region: "lima".into(),
        zone: "lima-a".into(),
        caller: address("10.0.0.1:8080"),
        operator: address("10.0.0.1:8081"),
        sibling: address("10.0.0.1:8082"),
    }
}

fn check_listed(status: Option<&'static str>, lag: Duration, want: Option<bool>) {
    block_on(async {
        let (state, registry) = start(lag).await;
        let profile = profile();
        registry
            .register(&"lima-1".into(), 7, &profile)
            .await
            .expect("an answer");
        match status {
            Some(status) => state.set_status("lima-1", status),
            None => registry
                .deregister(&"lima-1".into())
                .await
                .expect("an answer"),
        }
        let listed = registry.list().await.expect("an answer");
        assert_eq!(listed.first().map(|l| l.leaving), want);
        let whole = |l: &Listed| l.incarnation == 7 && l.profile == Some(profile.clone());
        assert!(listed.iter().all(whole), "{listed:?}");
    });
}

const NO_LAG: Duration = Duration::ZERO;
const LONG_LAG: Duration = Duration::from_secs(3600);

cases! {
    check_listed:
    listed_as_passing(Some(PASSING), NO_LAG, Some(false));
    listed_as_leaving(Some(CRITICAL), NO_LAG, Some(true));
    not_listed_after_its_deregistration(None, NO_LAG, None);
    not_listed_before_the_lag_is_over(Some(PASSING), LONG_LAG, None);
}

#[test]
fn a_refusal_is_an_error_with_step_and_peer() {
    block_on(async {
        let (state, registry) = start(NO_LAG).await;
        state.script.set(Faults {
            refuse: true,
            ..Faults::default()
        });
        let e = registry.list().await.expect_err("a refusal");
        assert_eq!(
            e.to_string(),
            "configure: registry: refused with status 503"
        );
    });
}
