//! `chiverelay timeline`: merges the events of all instances.

use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chiverelay_decisions::event::Event;
use chiverelay_decisions::event::EventFilter;
use chiverelay_decisions::event::Timeline;
use chiverelay_decisions::names::Instance;

use super::Connection;
use super::Error;
use super::Output;
use super::logs;
use super::logs::Line;
use super::logs::Wanted;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay timeline --instance ADDRESS [--token-file FILE] [--request ID] [--account NAME]\n               \
     [--at INSTANCE] [--from TIME] [--to TIME]\n  \
     chiverelay timeline --log FILE [--log FILE]... [--target NAME] and the options above\n    \
     Merges the events of all instances by their clocks, or the lines of their\n    \
     log files. A TIME is in milliseconds since 1970, or in seconds before now\n    \
     as -SECONDS."
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let files: Vec<PathBuf> = args.values_from_str("--log")?;
    if !files.is_empty() {
        let wanted = Wanted {
            filter: filter(&mut args)?,
            target: args.opt_value_from_str("--target")?,
        };
        super::finish(args)?;
        let lines = logs::merge(&files, &wanted)?;
        return out.print(&lines, |lines| log_text(lines));
    }
    let conn = Connection::from_args(&mut args)?;
    let filter = filter(&mut args)?;
    super::finish(args)?;
    let status = conn.client().status().await?;
    let mut timeline = Timeline::default();
    let own = conn.client().events().await?;
    timeline.add_page(&status.own.instance, own, &filter);
    for sibling in &status.siblings {
        match conn.to(sibling.operator).events().await {
            Ok(page) => timeline.add_page(&sibling.instance, page, &filter),
            Err(e) => timeline.add_missing(&sibling.instance, e.to_string()),
        }
    }
    timeline.sort();
    out.print(&timeline, text)
}

fn filter(args: &mut pico_args::Arguments) -> Result<EventFilter, Error> {
    let request: Option<String> = args.opt_value_from_str("--request")?;
    let account: Option<String> = args.opt_value_from_str("--account")?;
    let at: Option<String> = args.opt_value_from_str("--at")?;
    Ok(EventFilter {
        request: request.map(Into::into),
        account: account.map(Into::into),
        instance: at.map(Instance::from),
        from_ms: args.opt_value_from_fn("--from", time)?.unwrap_or(0),
        to_ms: args.opt_value_from_fn("--to", time)?.unwrap_or(u64::MAX),
    })
}

/// Reads a time in milliseconds since 1970, or in seconds before now.
fn time(text: &str) -> Result<u64, String> {
    let wrong = |_| format!("{text:?} is not a time");
    let Some(ago) = text.strip_prefix('-') else {
        return text.parse().map_err(wrong);
    };
    let ago = Duration::from_secs(ago.parse().map_err(wrong)?);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Ok(now.saturating_sub(ago).as_millis() as u64)
}

fn log_text(lines: &[Line]) -> String {
    let lines: Vec<String> = lines.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn text(timeline: &Timeline) -> String {
    let mut lines: Vec<String> = timeline.events.iter().map(line).collect();
    for (instance, dropped) in timeline.dropped.iter().filter(|(_, n)| **n > 0) {
        lines.push(format!(
            "# {instance} no longer holds {dropped} older events"
        ));
    }
    for (instance, reason) in &timeline.missing {
        lines.push(format!("# {instance} could not be asked: {reason}"));
    }
    lines.join("\n")
}

fn line(event: &Event) -> String {
    let request = event.request.as_ref().map_or("-", |r| r.as_str());
    let account = event.account.as_ref().map_or("-", |a| a.as_str());
    format!(
        "{}.{:03}  {}  {request}  {account}  {}  {}  {}",
        event.stamp.wall_ms,
        event.stamp.counter,
        event.instance,
        event.step,
        event.peer,
        event.what
    )
}
