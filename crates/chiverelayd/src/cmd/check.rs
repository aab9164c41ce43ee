//! `chiverelayd check`: checks a settings file.

use super::Error;
use crate::settings::Settings;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelayd check SETTINGS    checks a settings file"
}

/// Executes the subcommand.
pub(crate) fn execute(args: pico_args::Arguments) -> Result<(), Error> {
    let path = super::only_path(args)?;
    Settings::read(&path)?;
    println!("{}: no faults", path.display());
    Ok(())
}
