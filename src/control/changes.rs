//! Changes of several objects at once, and the outcomes of changes; older outcomes are dropped.

use super::request::ChangeParams;
use crate::{
    config::{Edit, Outcome},
    error::{Fail, Kind, Res},
    http::Exchange,
    kernel::Host,
};
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc};

/// Body of a request that changes several objects.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Edits {
    edits: Vec<Edit>,
}

pub(super) fn submit(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let applied = parse(exchange).and_then(|(params, edits)| params.submit(host, |_, _| edits));
    exchange.answer(applied)
}

fn parse(exchange: &Exchange) -> Res<(ChangeParams, Vec<Edit>)> {
    let params = ChangeParams::parse(exchange)?;
    let body: Edits = serde_json::from_slice(&exchange.request.body)
        .map_err(|e| Fail::field("edits", format!("the body is not valid: {e}")))?;
    Ok((params, body.edits))
}

pub(super) fn show(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let found = find(host, &exchange.request.head.path);
    exchange.answer(found)
}

fn find(host: &Host, path: &str) -> Res<Outcome> {
    let id = path.strip_prefix("/control/changes/").unwrap_or(path);
    host.config.view(|s| s.outcome(id).cloned()).ok_or_else(|| {
        let text =
            format!("this host has not read a change \"{id}\" from the log; ask again later");
        Fail::new(Kind::NotFound, text)
    })
}
