//! `chiverelayd run`: runs the daemon.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_caller as caller;
use chiverelay_operator as operator;
use chiverelay_sibling as sibling;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::Error;
use crate::context::Context;
use crate::hints;
use crate::instance::Instance;
use crate::instance::Starting;
use crate::keys;
use crate::load;
use crate::members;
use crate::operate::Operate;
use crate::publish;
use crate::serve::Serve;
use crate::settings::Settings;
use crate::settle;
use crate::shares;
use crate::sibling::Siblings;
use crate::wait;
use crate::writers;

/// Time for the requests that are cut to tell their callers.
const CUT_TIME: Duration = Duration::from_secs(2);

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelayd run SETTINGS      runs the daemon"
}

/// Executes the subcommand.
pub(crate) fn execute(args: pico_args::Arguments) -> Result<(), Error> {
    let path = super::only_path(args)?;
    let settings = Settings::read(&path)?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .map_err(|e| Error::Start(Box::new(e)))?;
    runtime.block_on(run(settings)).map_err(Error::Start)
}

async fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let starting = Instance::<Starting>::new();
    let endpoint = sibling::Endpoint::bind(settings.sibling.listen, &settings.certificates()?)?;
    let callers = caller::Server::bind(
        settings.caller.listen,
        settings.caller.limits(),
        settings.tls()?,
    )
    .await?;
    let operators = operator::Server::bind(settings.operator.listen).await?;
    let addresses = members::Addresses {
        caller: callers.address(),
        operator: operators.address(),
        sibling: settings.sibling.advertise.unwrap_or(endpoint.address()),
        listening: endpoint.address(),
    };
    let cx = Arc::new(Context::new(settings, endpoint.clone(), addresses)?);
    tokio::spawn(publish::run(Arc::clone(&cx)));
    tokio::spawn(members::run(Arc::clone(&cx)));
    tokio::spawn(shares::run(Arc::clone(&cx)));
    tokio::spawn(keys::run(Arc::clone(&cx)));
    tokio::spawn(wait::run(Arc::clone(&cx)));
    tokio::spawn(load::run(Arc::clone(&cx)));
    tokio::spawn(settle::run(Arc::clone(&cx)));
    tokio::spawn(writers::run(Arc::clone(&cx)));
    tokio::spawn(hints::run(Arc::clone(&cx)));
    tokio::spawn(
        endpoint
            .clone()
            .run(Arc::new(Siblings::new(Arc::clone(&cx))), cx.stop.clone()),
    );
    tokio::spawn(operators.run(Arc::new(Operate::new(Arc::clone(&cx))), cx.stop.clone()));
    let serving = starting.serve();
    let shutdown = caller::Shutdown {
        notice: cx.drain.clone(),
        close: cx.close.clone(),
    };
    let serve = callers.run(Arc::new(Serve::new(Arc::clone(&cx))), shutdown);
    let served = tokio::spawn(serve);
    println!("ready {}", serde_json::to_string(&cx.addresses)?);
    log::info!(
        "daemon: {} serves in {}",
        cx.settings.instance,
        cx.settings.region
    );
    wait_for_stop(&cx).await?;
    let draining = serving.drain(&cx).await;
    let timeout = Duration::from_millis(cx.settings.drain_timeout_ms);
    let ended = async {
        served.await?;
        draining.stop(&cx).await;
        Ok::<_, tokio::task::JoinError>(())
    };
    tokio::pin!(ended);
    match tokio::time::timeout(timeout, &mut ended).await {
        Ok(ended) => ended?,
        Err(_) => {
            log::error!(
                "daemon: {} requests are cut at the drain timeout",
                cx.requests.len()
            );
            cx.cut.cancel();
            if tokio::time::timeout(CUT_TIME, ended).await.is_err() {
                log::error!("daemon: callers are slow to take their errors");
            }
        }
    }
    endpoint.close().await;
    log::info!("daemon: stopped");
    Ok(())
}

async fn wait_for_stop(cx: &Context) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = cx.drain.cancelled() => {}
    }
    Ok(())
}
