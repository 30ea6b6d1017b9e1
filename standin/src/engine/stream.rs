//! One generation's stream.

use super::{
    Shared, body,
    core::Stop,
    text::{seed, token},
};
use gooseberrytack::{
    engine::{End, Generate, Piece},
    http::Exchange,
    wire::Name,
};
use std::{io, time::Duration};

/// A prompt with this in it can be answered on no try.
const IMPOSSIBLE: &str = "[impossible]";
/// Tokens sent beyond those asked for by an over-long answer.
const EXTRA: u32 = 3;
/// Longest wait between two looks at whether the caller is still there.
const LOOK: Duration = Duration::from_millis(20);

/// Faults of one stream, drawn when it starts.
struct Plan {
    silent: bool,
    cut: bool,
    cross: bool,
    double: bool,
    overlong: bool,
    error: bool,
    at: u32,
}

/// Answers a request for a generation.
pub(super) fn generate(shared: &Shared, exchange: &mut Exchange) -> io::Result<()> {
    let Some(ask) = body::<Generate>(exchange)? else {
        return Ok(());
    };
    if !shared.core().has_model(&ask.model) {
        return exchange.send(404, "text/plain", b"the model is not loaded");
    }
    let Some((run, stop)) = shared.core().begin(&ask) else {
        return exchange.send(409, "text/plain", b"a generation with this id runs");
    };
    let result = run_stream(shared, exchange, &ask, run, &stop);
    shared.core().finish(run, *result.as_ref().unwrap_or(&None));
    shared.freed.notify_all();
    result.map(|_| ())
}

/// Runs to the end; returns how the stream ended, `None` if it was cut.
fn run_stream(
    shared: &Shared,
    exchange: &mut Exchange,
    ask: &Generate,
    run: usize,
    stop: &Stop,
) -> io::Result<Option<End>> {
    let plan = draw(shared);
    exchange.begin(200, &[("content-type", "application/jsonlines")])?;
    if ask.prompt.contains(IMPOSSIBLE) {
        return finish(exchange, &ask.id, ask.from, End::Invalid);
    }
    if let Some(end) = wait_admitted(shared, exchange, run, stop)? {
        return finish(exchange, &ask.id, ask.from, end);
    }
    let hit = shared.core().touch(&ask.prompt) || ask.cache.is_some();
    let first = if hit {
        shared.config.cached_us
    } else {
        shared.config.first_us
    };
    let seed = seed(&ask.model, &ask.prompt);
    let last = ask.tokens + if plan.overlong { EXTRA } else { 0 };
    for pos in ask.from..last {
        let pause = if pos == ask.from {
            first
        } else {
            shared.config.token_us
        };
        if let Some(end) = pace(shared, exchange, pause, stop)? {
            return finish(exchange, &ask.id, pos, end);
        }
        shared.faults.thaw();
        let mut piece = Piece {
            id: ask.id.clone(),
            pos,
            text: token(seed, pos),
            end: None,
        };
        if pos == ask.from.max(plan.at) {
            if plan.silent {
                return wait_silent(exchange, stop);
            }
            if plan.cut {
                exchange.abort();
                return Ok(None);
            }
            if plan.error {
                return finish(exchange, &ask.id, pos, End::Error);
            }
            if plan.double {
                send(exchange, &piece)?;
            }
            if plan.cross {
                piece.id = format!("{}-other", ask.id).into();
            }
        }
        send(exchange, &piece)?;
        shared.core().runs[run].pos = pos + 1;
    }
    finish(exchange, &ask.id, last, End::Stop)
}

fn draw(shared: &Shared) -> Plan {
    let faults = &shared.faults;
    Plan {
        silent: faults.take(|f| &mut f.silent),
        cut: faults.take(|f| &mut f.cut),
        cross: faults.take(|f| &mut f.cross),
        double: faults.take(|f| &mut f.double),
        overlong: faults.take(|f| &mut f.overlong),
        error: faults.take(|f| &mut f.error),
        at: faults.get().cut_at,
    }
}

/// Waits for room, first come first served.
fn wait_admitted(
    shared: &Shared,
    exchange: &Exchange,
    run: usize,
    stop: &Stop,
) -> io::Result<Option<End>> {
    let mut core = shared.core();
    while !core.admit(run, shared.config.room) {
        core = shared.freed.wait_timeout(core, LOOK).expect("engine").0;
        if let Some(end) = stop.wait(Duration::ZERO) {
            return Ok(Some(end));
        }
        if exchange.is_gone() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    drop(core);
    shared.freed.notify_all();
    Ok(None)
}

/// Waits for the next token; more generations than slots share the speed of the slots.
fn pace(
    shared: &Shared,
    exchange: &Exchange,
    pause_us: u64,
    stop: &Stop,
) -> io::Result<Option<End>> {
    let running = u64::from(shared.core().running().max(1));
    let slots = u64::from(shared.config.slots.max(1));
    let drag = u64::from(shared.faults.get().drag.max(1));
    let mut left = Duration::from_micros(pause_us * running.max(slots) / slots * drag);
    loop {
        let part = left.min(LOOK);
        if let Some(end) = stop.wait(part) {
            return Ok(Some(end));
        }
        left -= part;
        if left.is_zero() {
            return Ok(None);
        }
        if exchange.is_gone() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
}

fn wait_silent(exchange: &mut Exchange, stop: &Stop) -> io::Result<Option<End>> {
    while !exchange.is_gone() && stop.wait(LOOK).is_none() {}
    exchange.abort();
    Ok(None)
}

fn finish(exchange: &mut Exchange, id: &Name, pos: u32, end: End) -> io::Result<Option<End>> {
    let piece = Piece {
        id: id.clone(),
        pos,
        text: String::new(),
        end: Some(end),
    };
    send(exchange, &piece)?;
    exchange.end()?;
    Ok(Some(end))
}

fn send(exchange: &mut Exchange, piece: &Piece) -> io::Result<()> {
    let mut line = serde_json::to_vec(piece).map_err(io::Error::other)?;
    line.push(b'\n');
    exchange.write(&line)
}
