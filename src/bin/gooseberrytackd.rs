//! The daemon: checks its settings and runs one host until SIGTERM or SIGINT.

use eyre::{Result, WrapErr};
use gooseberrytack::{
    daemon::{self, Args, Problems},
    kernel::Host,
    logs,
};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::process::ExitCode;

fn main() -> Result<ExitCode> {
    let args: Args = argh::from_env();
    let settings = match daemon::read(&args.settings) {
        Ok(settings) => settings,
        Err(error) if error.is::<Problems>() => {
            eprintln!("{error}");
            return Ok(ExitCode::from(2));
        }
        Err(error) => return Err(error),
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
