//! `chiverelay keys`: grants, withdraws and lists callers' keys.

use chiverelay_decisions::names::KeyId;
use chiverelay_operator::api::GrantKey;

use super::Connection;
use super::Error;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay keys grant|withdraw|list --instance ADDRESS [--token-file FILE] [ACCOUNT|ID]"
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    let action = args.subcommand()?;
    let conn = Connection::from_args(&mut args)?;
    match action.as_deref() {
        Some("grant") => grant(&conn, args.free_from_str()?).await,
        Some("withdraw") => withdraw(&conn, args.free_from_str()?).await,
        Some("list") => list(&conn).await,
        _ => Err(Error::Usage),
    }
}

async fn grant(conn: &Connection, account: String) -> Result<(), Error> {
    let req = GrantKey {
        account: account.into(),
    };
    let granted = conn.client().grant(&req).await?;
    super::apply::wait(conn.client(), granted.version).await?;
    println!("{}", granted.key);
    Ok(())
}

async fn withdraw(conn: &Connection, id: String) -> Result<(), Error> {
    let info = conn.client().withdraw(&KeyId::from(id)).await?;
    let state = if info.durable {
        "withdrawn"
    } else {
        "withdrawn; accepted by this instance, not yet durable"
    };
    println!("key {} is {state}", info.id);
    Ok(())
}

async fn list(conn: &Connection) -> Result<(), Error> {
    for key in conn.client().keys().await? {
        let state = if key.withdrawn {
            "withdrawn"
        } else {
            "in force"
        };
        let account = key.account.as_ref().map_or("-", |a| a.as_str());
        println!("{}  {account}  {state}", key.id);
    }
    Ok(())
}
