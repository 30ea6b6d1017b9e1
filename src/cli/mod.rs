//! The command-line tool for operators.

mod args;
mod client;
mod declare;
mod exit;
mod objects;
mod output;
mod watch;

pub use args::Args;
pub use exit::{CliError, Exit};

use args::Command;
use client::Hosts;

/// Runs the command of `args` and prints its result, or its error to standard error.
pub fn run(args: Args) -> Exit {
    let json = args.json;
    if let Command::Check(c) = &args.command
        && args.host.is_empty()
    {
        let result = declare::check(None, json, c);
        return result.unwrap_or_else(|error| error.report(json));
    }
    let hosts = match Hosts::new(&args.host, args.token.as_deref()) {
        Ok(hosts) => hosts,
        Err(error) => return error.report(json),
    };
    let result = match args.command {
        Command::Create(c) => objects::create(&hosts, json, &c),
        Command::Change(c) => objects::change(&hosts, json, &c),
        Command::Show(c) => objects::show(&hosts, json, &c),
        Command::Withdraw(c) => objects::withdraw(&hosts, json, &c),
        Command::Drain(c) => objects::drain(&hosts, json, &c),
        Command::Apply(c) => declare::apply(&hosts, json, &c),
        Command::Diff(c) => declare::diff(&hosts, json, &c),
        Command::Check(c) => declare::check(Some(&hosts), json, &c),
        Command::Wait(c) => watch::wait(&hosts, json, &c),
        Command::Timeline(c) => watch::timeline(&hosts, json, &c),
        Command::Status(c) => watch::status(&hosts, json, &c),
        Command::Jobs(c) => watch::jobs(&hosts, json, &c),
    };
    result.unwrap_or_else(|error| error.report(json))
}
