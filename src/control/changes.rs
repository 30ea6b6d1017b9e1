//! Changes of several objects at once, and what became of a change.

use super::request::ChangeParams;
use crate::{
    config::{Change, Edit, Outcome},
    error::{Fail, Kind, Res},
    http::Exchange,
    kernel::Host,
};
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc};

/// Body of a change of several objects.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Edits {
    edits: Vec<Edit>,
}

pub(super) fn make(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let done = parse(exchange).and_then(|(asked, edits)| {
        let mut change = Change::new(asked.id.clone(), asked.author.clone(), asked.reason.clone());
        change.edits = edits;
        asked.carry(host, |_, _| change.edits)
    });
    exchange.answer(done)
}

fn parse(exchange: &Exchange) -> Res<(ChangeParams, Vec<Edit>)> {
    let asked = ChangeParams::from(exchange)?;
    let body: Edits = serde_json::from_slice(&exchange.request.body)
        .map_err(|e| Fail::field("edits", format!("the body is not valid: {e}")))?;
    Ok((asked, body.edits))
}

pub(super) fn show(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let found = find(host, &exchange.request.head.path);
    exchange.answer(found)
}

fn find(host: &Host, path: &str) -> Res<Outcome> {
    let id = path.strip_prefix("/control/changes/").unwrap_or(path);
    host.config.view(|s| s.outcome(id).cloned()).ok_or_else(|| {
        let text = format!("change \"{id}\" was not read from the log by this host");
        Fail::new(Kind::NotFound, text)
    })
}
