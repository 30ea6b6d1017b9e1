//! The daemon: parses its arguments, checks its settings and runs one host until SIGTERM.

use argh::FromArgs;
use eyre::{Result, WrapErr};
use gooseberrytack::{kernel::Host, logs, settings::Settings};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{fs, process::ExitCode};

/// Serves online and batch inference: every process between callers and model engines.
#[derive(FromArgs)]
struct Args {
    /// settings file (INI)
    #[argh(positional)]
    settings: String,
    /// check the settings file and end
    #[argh(switch)]
    check: bool,
}

fn main() -> Result<ExitCode> {
    let args: Args = argh::from_env();
    let text = fs::read_to_string(&args.settings)
        .wrap_err_with(|| format!("cannot read the settings file \"{}\"", args.settings))?;
    let settings = match Settings::parse(&args.settings, &text) {
        Ok(settings) => settings,
        Err(problems) => {
            problems.iter().for_each(|p| eprintln!("{p}"));
            return Ok(ExitCode::from(2));
        }
    };
    if args.check {
        println!("{}: the settings are valid", args.settings);
        return Ok(ExitCode::SUCCESS);
    }
    let _logs = logs::start();
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("cannot listen for signals")?;
    let host = Host::start(settings).wrap_err("cannot start the host")?;
    signals.forever().next();
    let cut = host.stop();
    Ok(if cut == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
