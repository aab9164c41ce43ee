//! `chiverelayd check`: checks a settings file.

use std::path::PathBuf;

use super::Error;
use crate::settings::Settings;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelayd check SETTINGS    checks a settings file"
}

/// Executes the subcommand.
pub(crate) fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    let path: PathBuf = args.free_from_str()?;
    Settings::read(&path)?;
    println!("{}: no faults", path.display());
    Ok(())
}
