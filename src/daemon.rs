//! Command line and settings file of the daemons.

use crate::settings::{Problem, Settings};
use argh::FromArgs;
use eyre::{Result, WrapErr};
use std::{fmt, fs};

/// Serves online and batch inference: every process between callers and model engines.
#[derive(FromArgs, Debug)]
pub struct Args {
    /// settings file (INI)
    #[argh(positional)]
    pub settings: String,
    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,
}

/// All problems of a settings file; displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Problems {}

/// Reads and checks the settings file `file`.
///
/// # Errors
/// The file cannot be read, or [`Problems`].
pub fn read(file: &str) -> Result<Settings> {
    let text = fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read the settings file \"{file}\""))?;
    Ok(Settings::parse(file, &text).map_err(Problems)?)
}
