//! `chiverelay keys`: grants, withdraws and lists callers' keys.

use chiverelay_decisions::names::KeyId;
use chiverelay_operator::api::GrantKey;
use chiverelay_operator::api::KeyInfo;

use super::Connection;
use super::Error;
use super::Output;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay keys grant|withdraw|list --instance ADDRESS [--token-file FILE] [ACCOUNT|ID]\n    \
     Grants an account a key, which is printed this once; withdraws a key by its\n    \
     public part; lists keys without their secrets."
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let action = args.subcommand()?;
    let conn = Connection::from_args(&mut args)?;
    match action.as_deref() {
        Some("grant") => grant(&conn, args, out).await,
        Some("withdraw") => withdraw(&conn, args, out).await,
        Some("list") => list(&conn, args, out).await,
        _ => Err(Error::Usage(describe())),
    }
}

async fn grant(
    conn: &Connection,
    mut args: pico_args::Arguments,
    out: Output,
) -> Result<(), Error> {
    let account: String = args.free_from_str()?;
    super::finish(args)?;
    let req = GrantKey {
        account: account.into(),
    };
    let granted = conn.client().grant(&req).await?;
    // The key is printed first: it can't be shown again if the wait fails.
    out.print(&granted, |granted| granted.key.clone())?;
    super::apply::wait(conn.client(), granted.version).await
}

async fn withdraw(
    conn: &Connection,
    mut args: pico_args::Arguments,
    out: Output,
) -> Result<(), Error> {
    let id: String = args.free_from_str()?;
    super::finish(args)?;
    // Whoever pastes the whole key means the key.
    let id = match chiverelay_decisions::config::split_key(&id) {
        Some((id, _)) => KeyId::from(id),
        None => KeyId::from(id),
    };
    let info = conn.client().withdraw(&id).await?;
    out.print(&info, describe_key)
}

async fn list(conn: &Connection, args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    super::finish(args)?;
    let keys = conn.client().keys().await?;
    out.print(&keys, |keys| {
        let lines: Vec<String> = keys.iter().map(describe_key).collect();
        lines.join("\n")
    })
}

fn describe_key(key: &KeyInfo) -> String {
    let state = match (key.withdrawn, key.durable) {
        (false, _) => "in force",
        (true, true) => "withdrawn",
        (true, false) => "withdrawn; accepted by this instance, not yet durable",
    };
    let account = key.account.as_ref().map_or("-", |a| a.as_str());
    format!("{}  {account}  {state}", key.id)
}
