//! Runs one stand-in as a process until it is killed.

use argh::FromArgs;
use eyre::{Result, WrapErr};
use serde::de::DeserializeOwned;
use standin::{Engine, ListServer, LogServer, Service};
use std::thread;

/// Runs a stand-in; prints its address and then serves until it is killed. Faults are injected
/// by `POST /standin/order`.
#[derive(FromArgs)]
struct Args {
    /// what to run: log, list, engine or service
    #[argh(positional)]
    kind: String,
    /// configuration in JSON; omitted fields take their defaults
    #[argh(option, default = "\"{}\".into()")]
    config: String,
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    match args.kind.as_str() {
        "log" => serve(LogServer::start(read(&args.config)?), LogServer::addr),
        "list" => serve(ListServer::start(read(&args.config)?), ListServer::addr),
        "engine" => serve(Engine::start(read(&args.config)?), Engine::addr),
        "service" => serve(Service::start(read(&args.config)?), Service::addr),
        other => eyre::bail!("no stand-in \"{other}\"; use log, list, engine or service"),
    }
}

fn read<T: DeserializeOwned>(config: &str) -> Result<T> {
    serde_json::from_str(config).wrap_err("--config is not valid JSON for this kind of stand-in")
}

fn serve<S>(standin: S, addr: impl FnOnce(&S) -> std::net::SocketAddr) -> ! {
    println!("{}", addr(&standin));
    loop {
        thread::park();
    }
}
