//! The operators' document as it stands in a file.

use std::collections::BTreeSet;
use std::path::Path;

use chiverelay_decisions::Config;
use chiverelay_decisions::config;
use chiverelay_decisions::config::AccountEntry;
use chiverelay_decisions::config::DEFAULT_DEADLINE_MS;
use chiverelay_decisions::config::DEFAULT_MAX_ANSWER_TOKENS;
use chiverelay_decisions::config::DEFAULT_PANIC_PERCENT;
use chiverelay_decisions::config::DEFAULT_PREFILL_RATE;
use chiverelay_decisions::config::DEFAULT_QUEUE;
use chiverelay_decisions::config::DEFAULT_RAMP_MS;
use chiverelay_decisions::config::DEFAULT_SLOTS;
use chiverelay_decisions::config::DefinedNames;
use chiverelay_decisions::config::PoolEntry;
use chiverelay_decisions::config::PoolKind;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::config::RouteEntry;
use chiverelay_decisions::config::TargetEntry;
use chiverelay_decisions::names;
use chiverelay_decisions::placement::Objective;

use crate::api::Document;
use crate::file;
use crate::file::Fault;
use crate::file::Name;
use crate::file::Read;
use crate::file::Reader;
use crate::file::Value;
use crate::read_struct;

macro_rules! read_names {
    ($check:path: $($name:ident),* $(,)?) => {
        $(
            impl TryFrom<Name<'_>> for names::$name {
                type Error = String;

                fn try_from(name: Name<'_>) -> Result<Self, String> {
                    $check(name.0)?;
                    Ok(Self::from(name.0))
                }
            }

            impl Read for names::$name {
                fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
                    file::parse_text(value, reader, |s| Self::try_from(Name(s)))
                }
            }
        )*
    };
}

read_names!(names::check_name: Account, Model, Pool, Route, Target);
// These two go into certificates.
read_names!(names::check_certificate_name: Instance, Region);
read_names!(names::check_name: Zone);

read_struct!(Document {
    routes = Default::default(),
    pools = Default::default(),
    accounts = Default::default(),
});

read_struct!(RouteEntry {
    path,
    model = None,
    pool,
    open = false,
    accounts = Vec::new(),
    repeatable = true,
    residency = Residency::anywhere(),
    max_answer_tokens = DEFAULT_MAX_ANSWER_TOKENS,
    deadline_ms = DEFAULT_DEADLINE_MS,
});

read_struct!(PoolEntry {
    kind,
    targets,
    slots = DEFAULT_SLOTS,
    prefill_rate = DEFAULT_PREFILL_RATE,
    queue = DEFAULT_QUEUE,
    resume = false,
    weights = Objective::default(),
    panic_percent = DEFAULT_PANIC_PERCENT,
    ramp_ms = DEFAULT_RAMP_MS,
});

read_struct!(TargetEntry {
    address,
    region,
    zone,
});

read_struct!(AccountEntry {
    rate,
    burst,
    residency = Residency::anywhere(),
});

impl Read for PoolKind {
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        file::parse_text(value, reader, |s| match s {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err(format!("{s:?} is neither \"engine\" nor \"service\"")),
        })
    }
}

impl Read for Objective {
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        file::parse_text(value, reader, |s| match s {
            "latency" => Ok(Self::Latency),
            "cost" => Ok(Self::Cost),
            _ => Err(format!("{s:?} is neither \"latency\" nor \"cost\"")),
        })
    }
}

impl Read for Residency {
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        let regions: Option<Vec<names::Region>> = Read::read(value, reader)?;
        Some(regions.map_or_else(Self::anywhere, Self::only))
    }
}

/// Lists the names that a table defines, also those of faulty entries.
fn defined(value: &Value<'_>, table: &str) -> BTreeSet<String> {
    let table = value.as_object().and_then(|o| o.get_object(table));
    table.map_or_else(BTreeSet::new, |table| {
        let names = table.properties.iter();
        names.map(|p| p.name.as_str().to_owned()).collect()
    })
}

fn check(document: &Document, value: &Value<'_>) -> Vec<config::ConfigFault> {
    let defined = DefinedNames {
        pools: defined(value, "pools"),
        accounts: defined(value, "accounts"),
    };
    let config = Config {
        routes: document.routes.clone(),
        pools: document.pools.clone(),
        accounts: document.accounts.clone(),
        ..Config::default()
    };
    let mut faults = config.check_with(&defined);
    faults.extend(config.check_reachability());
    faults
}

/// Reads a document out of its text.
///
/// # Errors
///
/// Returns every fault, in the order of the text.
pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    file::parse(text, check)
}

/// Reads a document out of a file.
///
/// # Errors
///
/// Fails if the file can't be read or has faults.
pub fn read(path: &Path) -> Result<Document, file::Error> {
    file::read(path, check)
}
