//! `chiverelay timeline`: merges the events of all instances.

use chiverelay_decisions::event::Event;

use super::Connection;
use super::Error;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay timeline --instance ADDRESS [--token-file FILE] [--request ID] [--account NAME]"
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    let conn = Connection::from_args(&mut args)?;
    let request: Option<String> = args.opt_value_from_str("--request")?;
    let account: Option<String> = args.opt_value_from_str("--account")?;
    let status = conn.client().status().await?;
    let mut events = conn.client().events().await?.events;
    for client in conn.others(&status) {
        match client.events().await {
            Ok(page) => events.extend(page.events),
            Err(e) => eprintln!("{e}"),
        }
    }
    events.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    let wanted = |e: &&Event| {
        let req = e.request.as_ref().map(|r| r.as_str());
        let acc = e.account.as_ref().map(|a| a.as_str());
        (request.is_none() || request.as_deref() == req)
            && (account.is_none() || account.as_deref() == acc)
    };
    for event in events.iter().filter(wanted) {
        print(event);
    }
    Ok(())
}

fn print(event: &Event) {
    let request = event.request.as_ref().map_or("-", |r| r.as_str());
    println!(
        "{}.{:03}  {}  {}  {}  {}  {}",
        event.stamp.wall_ms,
        event.stamp.counter,
        event.instance,
        request,
        event.step,
        event.peer,
        event.what
    );
}
