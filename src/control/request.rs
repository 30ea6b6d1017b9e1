//! What an operator's request carries beside the declaration itself.

use crate::{
    config::{self, Change, Edit, Sort, State},
    error::{Fail, Kind, Res},
    fold::Pos,
    http::Exchange,
    kernel::Host,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::{sync::Arc, time::Duration};

/// Longest time that an operator waits for a change to be read back.
const LIMIT: Duration = Duration::from_secs(10);
/// Header field or query parameter that names the change.
const CHANGE: &str = "change";

/// Who asks for a change, why, under which id and against which revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeParams {
    /// Id of the change; made up if the operator gave none.
    pub id: Name,
    /// Author.
    pub author: Name,
    /// Reason.
    pub reason: Name,
    /// Revision that the operator saw, if it was given.
    pub base: Option<Pos>,
}

/// Answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Id of the change.
    pub change: Name,
    /// Revision at which the change is in force.
    pub revision: Pos,
}

impl ChangeParams {
    /// Reads the query parameters `change`, `author`, `reason` and `base`.
    ///
    /// # Errors
    /// `base` is not a revision.
    pub fn from(exchange: &Exchange) -> Res<Self> {
        let head = &exchange.request.head;
        let text = |name: &str| head.param(name).map(Name::from);
        let base = match head.param("base") {
            None => None,
            Some(base) => Some(base.parse().map_err(|_| {
                Fail::field("base", format!("\"{base}\" is not a revision (a number)"))
            })?),
        };
        Ok(Self {
            id: text(CHANGE).unwrap_or_else(new_id),
            author: text("author").unwrap_or_else(|| "operator".into()),
            reason: text("reason").unwrap_or_default(),
            base,
        })
    }

    /// Carries the change of `edits` through the log. One that was judged before under the same
    /// id is not made again.
    pub(super) fn carry(
        self,
        host: &Arc<Host>,
        edits: impl FnOnce(&State, &Self) -> Vec<Edit>,
    ) -> Res<Applied> {
        let (judged, edits) = host.config.view(|state| {
            let judged = state.outcome(&self.id).cloned();
            (judged, edits(state, &self))
        });
        let mut change = Change::new(self.id.clone(), self.author, self.reason);
        change.edits = edits;
        let revision = match judged {
            Some(mut outcome) => {
                // The edits were worked out against a later state than the first time.
                outcome.digest = config::digest(&change);
                host.config
                    .view(|s| config::result_of(s, &change, &outcome))?
            }
            None if change.edits.is_empty() => host.config.view(|s| s.revision),
            None => config::apply(host, &change, LIMIT)?,
        };
        Ok(Applied {
            change: self.id,
            revision,
        })
    }
}

fn new_id() -> Name {
    format!("{:016x}", rand::random::<u64>()).into()
}

/// The body as a JSON object.
pub(super) fn body(exchange: &Exchange) -> Res<Map<String, Value>> {
    let bytes = &exchange.request.body;
    if bytes.is_empty() {
        return Ok(Map::new());
    }
    match serde_json::from_slice(bytes) {
        Ok(Value::Object(map)) => Ok(map),
        Ok(_) => Err(Fail::new(Kind::BadRequest, "the body is no JSON object")),
        Err(e) => Err(Fail::new(
            Kind::BadRequest,
            format!("the body is not JSON: {e}"),
        )),
    }
}

/// Sort and name in a path below `/control/`.
pub(super) fn target(path: &str) -> Res<(Sort, &str)> {
    let rest = path.strip_prefix("/control/").unwrap_or(path);
    let (sort, name) = rest.split_once('/').unwrap_or((rest, ""));
    let found = Sort::parse(sort);
    let sort = found.ok_or_else(|| Fail::new(Kind::NotFound, format!("no path \"{path}\"")))?;
    // The names of routes begin with a slash.
    let name = match sort {
        Sort::Route => &rest[sort.plural().len()..],
        _ => name,
    };
    Ok((sort, name))
}
