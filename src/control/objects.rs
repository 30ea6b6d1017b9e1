//! Shows, creates, changes and withdraws declared objects.

use super::request::{Asked, Done, body, target};
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

/// A declared object with its values in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    /// Sort.
    pub sort: Sort,
    /// Name.
    pub name: Name,
    /// Revision.
    pub revision: Pos,
    /// Change that made the revision.
    pub change: Name,
    /// Author of that change.
    pub author: Name,
    /// What was declared.
    pub declared: Item,
    /// Values of its settings that have a default.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<Value>,
}

/// A value with a default.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Setting.
    pub setting: Setting,
    /// Value in force.
    pub value: u32,
    /// Whether an exception gives it.
    pub exception: bool,
}

/// All objects of one or every sort.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the whole configuration.
    pub revision: Pos,
    /// The objects.
    pub objects: Vec<Shown>,
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
            let done = put(host, exchange);
            exchange.answer(done)
        }
        "DELETE" => {
            let done = withdraw(host, exchange);
            exchange.answer(done)
        }
        other => {
            let text = format!("method \"{other}\" is not allowed; use GET, PUT or DELETE");
            exchange.fail(&Fail::new(Kind::BadMethod, text))
        }
    }
}

fn show(host: &Host, exchange: &Exchange) -> Res<Shown> {
    let (sort, name) = target(&exchange.request.head.path)?;
    let id = ObjectId::new(sort, name);
    host.config
        .view(|s| s.object(&id).map(|o| shown(s, o)))
        .ok_or_else(|| missing(&id))
}

fn put(host: &Arc<Host>, exchange: &Exchange) -> Res<Done> {
    let (sort, name) = target(&exchange.request.head.path)?;
    let id = ObjectId::new(sort, name);
    let asked = Asked::from(exchange)?;
    let mut declared = config::parse_declaration(&id, body(exchange)?)
        .map_err(|faults| config::error_of(&faults))?;
    declared.fill_in(&asked.reason, &asked.author);
    asked.carry(host, |state, asked| {
        config::edits_for(state, &declared, asked.base)
    })
}

fn withdraw(host: &Arc<Host>, exchange: &Exchange) -> Res<Done> {
    let (sort, name) = target(&exchange.request.head.path)?;
    let id = ObjectId::new(sort, name);
    let asked = Asked::from(exchange)?;
    let known = host
        .config
        .view(|s| s.object(&id).is_some() || s.outcome(&asked.id).is_some());
    if !known {
        return Err(missing(&id));
    }
    asked.carry(host, |state, asked| {
        config::edits_to_withdraw(state, &id, asked.base)
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

fn shown(state: &State, object: &Object) -> Shown {
    let name = &object.id.name;
    let values = Setting::ALL
        .into_iter()
        .filter(|s| s.target() == object.id.sort)
        .map(|setting| Value {
            setting,
            value: state.value_of(name, setting),
            exception: state.object(&ObjectId::exception(name, setting)).is_some(),
        });
    Shown {
        sort: object.id.sort,
        name: name.clone(),
        revision: object.revision,
        change: object.change.clone(),
        author: object.author.clone(),
        declared: object.item.clone(),
        values: values.collect(),
    }
}
