//! `GET /v1/models`: the declared models.

use super::auth;
use crate::{
    http::Exchange,
    kernel::{Host, Plugin, Port, Route},
    wire::Name,
};
use serde::Serialize;
use std::{io, sync::Arc};

inventory::submit! {
    Plugin {
        name: "models",
        routes: &[Route { port: Port::Caller, method: "GET", path: "/v1/models", handle: list }],
        tasks: &[],
        stop: |_| {},
    }
}

#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Entry>,
}

#[derive(Debug, Serialize)]
struct Entry {
    id: Name,
    object: &'static str,
    owned_by: &'static str,
    adapters: Vec<Name>,
    max_tokens: u32,
}

fn list(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let result = auth::admit(host, &exchange.request).map(|_| ModelList {
        object: "list",
        data: host.config.view(|state| {
            let entries = state.models.iter().map(|m| Entry {
                id: m.name.clone(),
                object: "model",
                owned_by: "gooseberrytack",
                adapters: m.adapters.clone(),
                max_tokens: m.tokens,
            });
            entries.collect()
        }),
    });
    exchange.answer(result)
}
