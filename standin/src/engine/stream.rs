//! Streams one generation and injects the faults of its stream.

use super::{
    Shared,
    core::Stop,
    parse_body,
    text::{seed, token},
};
use gooseberrytack::{
    engine::{End, Generate, Piece},
    http::Exchange,
    wire::Name,
};
use std::{io, time::Duration};

/// A prompt that contains this always ends as invalid.
const IMPOSSIBLE: &str = "[impossible]";
/// Tokens that an over-long answer has beyond those asked for.
const EXTRA_TOKENS: u32 = 3;
/// Longest wait between two checks that the caller is still connected.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Faults of one stream, drawn when it starts.
struct StreamFaults {
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
    let Some(request) = parse_body::<Generate>(exchange)? else {
        return Ok(());
    };
    if !shared.core().has_model(&request.model) {
        return exchange.send(404, "text/plain", b"the model is not loaded");
    }
    let Some((run, stop)) = shared.core().begin(&request) else {
        return exchange.send(409, "text/plain", b"a generation with this id runs");
    };
    let result = run_stream(shared, exchange, &request, run, &stop);
    shared.core().finish(run, *result.as_ref().unwrap_or(&None));
    shared.freed.notify_all();
    result.map(|_| ())
}

/// Streams the whole answer; returns how the stream ended, `None` if it was cut.
fn run_stream(
    shared: &Shared,
    exchange: &mut Exchange,
    request: &Generate,
    run: usize,
    stop: &Stop,
) -> io::Result<Option<End>> {
    let faults = draw_faults(shared);
    exchange.begin(200, &[("content-type", "application/jsonlines")])?;
    if request.prompt.contains(IMPOSSIBLE) {
        return finish(exchange, &request.id, request.from, End::Invalid);
    }
    if let Some(end) = wait_admitted(shared, exchange, run, stop)? {
        return finish(exchange, &request.id, request.from, end);
    }
    let hit = shared.core().touch(&request.prompt) || request.cache.is_some();
    let first = if hit {
        shared.config.cached_us
    } else {
        shared.config.first_us
    };
    let seed = seed(&request.model, &request.prompt);
    let last = request.tokens + if faults.overlong { EXTRA_TOKENS } else { 0 };
    for pos in request.from..last {
        let pause = if pos == request.from {
            first
        } else {
            shared.config.token_us
        };
        if let Some(end) = wait_token(shared, exchange, pause, stop)? {
            return finish(exchange, &request.id, pos, end);
        }
        shared.faults.wait_thawed();
        let mut piece = Piece {
            id: request.id.clone(),
            pos,
            text: token(seed, pos),
            end: None,
        };
        if pos == request.from.max(faults.at) {
            if faults.silent {
                return wait_silent(exchange, stop);
            }
            if faults.cut {
                exchange.abort();
                return Ok(None);
            }
            if faults.error {
                return finish(exchange, &request.id, pos, End::Error);
            }
            if faults.double {
                send(exchange, &piece)?;
            }
            if faults.cross {
                piece.id = format!("{}-other", request.id).into();
            }
        }
        send(exchange, &piece)?;
        shared.core().runs[run].pos = pos + 1;
    }
    finish(exchange, &request.id, last, End::Stop)
}

fn draw_faults(shared: &Shared) -> StreamFaults {
    let faults = &shared.faults;
    StreamFaults {
        silent: faults.take(|f| &mut f.silent),
        cut: faults.take(|f| &mut f.cut),
        cross: faults.take(|f| &mut f.cross),
        double: faults.take(|f| &mut f.double),
        overlong: faults.take(|f| &mut f.overlong),
        error: faults.take(|f| &mut f.error),
        at: faults.get().cut_at,
    }
}

/// Waits for admission; returns the end that was signalled meanwhile, if any.
fn wait_admitted(
    shared: &Shared,
    exchange: &Exchange,
    run: usize,
    stop: &Stop,
) -> io::Result<Option<End>> {
    let mut core = shared.core();
    while !core.admit(run, shared.config.room) {
        let waited = shared.freed.wait_timeout(core, CHECK_INTERVAL);
        core = waited.expect("engine").0;
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

/// Waits until the next token is due; more generations than slots share the speed of the slots.
fn wait_token(
    shared: &Shared,
    exchange: &Exchange,
    pause_us: u64,
    stop: &Stop,
) -> io::Result<Option<End>> {
    let running = u64::from(shared.core().running().max(1));
    let slots = u64::from(shared.config.slots.max(1));
    let slowdown = u64::from(shared.faults.get().drag.max(1));
    let mut left = Duration::from_micros(pause_us * running.max(slots) / slots * slowdown);
    loop {
        let step = left.min(CHECK_INTERVAL);
        if let Some(end) = stop.wait(step) {
            return Ok(Some(end));
        }
        left -= step;
        if left.is_zero() {
            return Ok(None);
        }
        if exchange.is_gone() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
}

fn wait_silent(exchange: &mut Exchange, stop: &Stop) -> io::Result<Option<End>> {
    while !exchange.is_gone() && stop.wait(CHECK_INTERVAL).is_none() {}
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
