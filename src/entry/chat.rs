//! `POST /v1/chat/completions`, with whole and streamed answers.

use super::{
    ask::ChatRequest,
    auth::{self, Caller},
    reply::{PlainSink, StreamSink, Watch},
};
use crate::{
    error::{Fail, Kind, Res},
    http::Exchange,
    kernel::{Host, Plugin, Port, Route},
    limit::Permit,
    route::dispatch,
    timeline::Happening,
    wire::{Answer, Class, Name, Software, Work},
};
use std::{io, sync::Arc};

inventory::submit! {
    Plugin {
        name: "chat",
        routes: &[Route {
            port: Port::Caller,
            method: "POST",
            path: "/v1/chat/completions",
            handle: chat,
        }],
        tasks: &[],
        stop: |_| {},
    }
}

fn chat(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let began = host.now();
    let (caller, ask, permit) = match admit(host, exchange) {
        Ok(admitted) => admitted,
        Err(fail) => {
            let code = fail.kind.row().code;
            host.timeline.note(Happening::Refused, "", None, code);
            host.served.refused(fail.kind);
            return exchange.fail(&fail);
        }
    };
    let work = work(host, &caller, &ask);
    host.timeline
        .note(Happening::Received, &work.id, None, &work.workspace);
    let watch = Watch::new(host, &caller, permit, began);
    if ask.stream {
        let mut sink = StreamSink::new(watch, &work, exchange);
        let result = dispatch(host, &work, &mut sink);
        count_failure(host, &result);
        sink.finish(&result)
    } else {
        let mut sink = PlainSink::new(watch, exchange);
        let result = dispatch(host, &work, &mut sink);
        count_failure(host, &result);
        sink.finish(&work, &result)
    }
}

fn count_failure(host: &Host, result: &Res<Answer>) {
    if let Err(fail) = result {
        host.served.refused(fail.kind);
    }
}

/// Checks the key, the content type, the fields and the rate. The rate comes last, so that a
/// request that fails another check takes no rate token.
fn admit(host: &Arc<Host>, exchange: &Exchange) -> Res<(Caller, ChatRequest, Permit)> {
    let caller = auth::admit(host, &exchange.request)?;
    let kind = exchange.request.field("content-type").unwrap_or("");
    let kind = kind.split(';').next().unwrap_or("").trim();
    if !kind.eq_ignore_ascii_case("application/json") {
        let text = format!("content type \"{kind}\" is not supported; use application/json");
        return Err(Fail::new(Kind::BadType, text));
    }
    let body = &exchange.request.body;
    let ask = host
        .config
        .view(|state| ChatRequest::parse(body, state))
        .map_err(|fail| match (fail.kind, fail.field.as_deref()) {
            (Kind::UnknownModel, _) | (Kind::BadRequest, Some("adapter")) => host.absent(fail),
            _ => fail,
        })?;
    if ask.stream && !exchange.request.head.chunks {
        return Err(Fail::field("stream", "needs HTTP/1.1"));
    }
    // Without a limit of the caller's, how long the answer takes is not known.
    host.check_time_left(ask.limit.unwrap_or_default())?;
    let permit = auth::reserve(host, &caller)?;
    Ok((caller, ask, permit))
}

fn work(host: &Host, caller: &Caller, ask: &ChatRequest) -> Work {
    let limit = ask.limit.unwrap_or(host.settings.deadline);
    let deadline = host.now() + limit.min(host.settings.deadline);
    Work {
        id: request_id(),
        workspace: caller.workspace.clone(),
        model: ask.model.clone(),
        adapter: ask.adapter.clone(),
        prompt: ask.prompt.clone(),
        tokens: ask.tokens,
        class: Class::Online,
        repeatable: ask.repeatable,
        deadline,
        slot_deadline: deadline,
        since: 0,
        request: None,
        software: Software::Any,
    }
}

/// A random id, unique over all hosts.
fn request_id() -> Name {
    format!("chatcmpl-{:032x}", rand::random::<u128>()).into()
}
