//! Issues API keys to callers.

use super::request::{ChangeParams, body};
use crate::{
    config::{self, ObjectId, Sort},
    error::{Fail, Kind, Res},
    fold::Pos,
    http::Exchange,
    kernel::Host,
    wire::Name,
};
use rand::TryRngCore;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::{io, sync::Arc};

/// Random bytes in a key.
const KEY_BYTES: usize = 32;
/// Prefix of every key.
const PREFIX: &str = "gbt_";

/// A newly issued key. The key itself is never stored and shown only here.
#[derive(Debug, Serialize)]
struct Issued {
    key: String,
    hash: Name,
    change: Name,
    revision: Pos,
}

pub(super) fn issue(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let issued = run(host, exchange);
    exchange.answer(issued)
}

fn run(host: &Arc<Host>, exchange: &Exchange) -> Res<Issued> {
    let params = ChangeParams::parse(exchange)?;
    if host.config.view(|s| s.outcome(&params.id).is_some()) {
        let text = format!(
            "change \"{}\" was made before and its key cannot be shown again; \
             withdraw that key and issue another with a new id",
            params.id
        );
        return Err(Fail::new(Kind::Conflict, text));
    }
    let key = new_key()?;
    let hash: Name = hex(&Sha256::digest(key.as_bytes())).into();
    let id = ObjectId::new(Sort::Key, hash.clone());
    let declared = config::parse_declaration(&id, body(exchange)?)
        .map_err(|faults| config::error_of(&faults))?;
    let applied = params.submit(host, |state, params| {
        config::edits_for(state, &declared, params.base)
    })?;
    Ok(Issued {
        key,
        hash,
        change: applied.change,
        revision: applied.revision,
    })
}

fn new_key() -> Res<String> {
    let mut bytes = [0; KEY_BYTES];
    rand::rngs::OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|e| Fail::new(Kind::Internal, format!("cannot get random bytes: {e}")))?;
    Ok(format!("{PREFIX}{}", hex(&bytes)))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
