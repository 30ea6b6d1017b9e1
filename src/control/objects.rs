//! Shows, declares and withdraws objects of the configuration.

use super::request::{Applied, ChangeParams, body, target};
use crate::{
    config::{self, Item, Object, ObjectId, Setting, Sort, State},
    error::{Fail, Kind, Res},
    fold::Pos,
    http::Exchange,
    kernel::Host,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc};

/// A declared object with its settings in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectView {
    /// Sort of the object.
    pub sort: Sort,
    /// Name, unique within the sort.
    pub name: Name,
    /// Revision at which it last changed.
    pub revision: Pos,
    /// Id of that change.
    pub change: Name,
    /// Author of that change.
    pub author: Name,
    /// Declaration, as the operator gave it.
    pub declared: Item,
    /// Its settings that have a fleet-wide default.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<Value>,
}

/// A setting that has a fleet-wide default.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Which setting.
    pub setting: Setting,
    /// Value in force.
    pub value: u32,
    /// Whether an exception overrides the default.
    pub exception: bool,
}

/// The declared objects of one sort or of all sorts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the whole configuration.
    pub revision: Pos,
    /// Objects, sorted by sort and name.
    pub objects: Vec<ObjectView>,
}

pub(super) fn state(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let listing = host.config.view(|s| listing(s, &s.objects));
    exchange.json(200, &listing)
}

pub(super) fn list(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let found = target(&exchange.request.head.path)
        .map(|(sort, _)| host.config.view(|s| listing(s, s.objects(sort))));
    exchange.answer(found)
}

pub(super) fn one(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    match exchange.request.head.method.as_str() {
        "GET" => {
            let found = show(host, exchange);
            exchange.answer(found)
        }
        "PUT" => {
            let applied = put(host, exchange);
            exchange.answer(applied)
        }
        "DELETE" => {
            let applied = withdraw(host, exchange);
            exchange.answer(applied)
        }
        other => {
            let text = format!("method \"{other}\" is not allowed; use GET, PUT or DELETE");
            exchange.fail(&Fail::new(Kind::BadMethod, text))
        }
    }
}

fn show(host: &Host, exchange: &Exchange) -> Res<ObjectView> {
    let (sort, name) = target(&exchange.request.head.path)?;
    let id = ObjectId::new(sort, name);
    host.config
        .view(|s| s.object(&id).map(|o| shown(s, o)))
        .ok_or_else(|| missing(&id))
}

fn put(host: &Arc<Host>, exchange: &Exchange) -> Res<Applied> {
    let (sort, name) = target(&exchange.request.head.path)?;
    let id = ObjectId::new(sort, name);
    let params = ChangeParams::parse(exchange)?;
    let mut declared = config::parse_declaration(&id, body(exchange)?)
        .map_err(|faults| config::error_of(&faults))?;
    declared.fill_in(&params.reason, &params.author);
    params.submit(host, |state, params| {
        config::edits_for(state, &declared, params.base)
    })
}

fn withdraw(host: &Arc<Host>, exchange: &Exchange) -> Res<Applied> {
    let (sort, name) = target(&exchange.request.head.path)?;
    let id = ObjectId::new(sort, name);
    let params = ChangeParams::parse(exchange)?;
    let known = host
        .config
        .view(|s| s.object(&id).is_some() || s.outcome(&params.id).is_some());
    if !known {
        return Err(missing(&id));
    }
    params.submit(host, |state, params| {
        config::edits_to_withdraw(state, &id, params.base)
    })
}

fn missing(id: &ObjectId) -> Fail {
    let text = format!("there is no {} \"{}\"", id.sort.as_str(), id.name);
    Fail::new(Kind::NotFound, text)
}

fn listing(state: &State, objects: &[Object]) -> Listing {
    Listing {
        revision: state.revision,
        objects: objects.iter().map(|o| shown(state, o)).collect(),
    }
}

fn shown(state: &State, object: &Object) -> ObjectView {
    let name = &object.id.name;
    let values = Setting::ALL
        .into_iter()
        .filter(|s| s.target() == object.id.sort)
        .map(|setting| Value {
            setting,
            value: state.value_of(name, setting),
            exception: state.object(&ObjectId::exception(name, setting)).is_some(),
        });
    ObjectView {
        sort: object.id.sort,
        name: name.clone(),
        revision: object.revision,
        change: object.change.clone(),
        author: object.author.clone(),
        declared: object.item.clone(),
        values: values.collect(),
    }
}
