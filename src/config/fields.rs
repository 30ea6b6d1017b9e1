//! Parses the fields of a declaration and collects every fault.

use super::{Fault, Item, ObjectId, Setting, Sort};
use crate::wire::Name;
use serde_json::{Map, Value};
use std::str::FromStr;

/// Declaration of one object, with values for its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declaration {
    /// The object.
    pub id: ObjectId,
    /// Its declaration.
    pub item: Item,
    /// Values given for settings with a fleet-wide default.
    pub values: Vec<(Setting, u32)>,
    /// Why those values differ from the default.
    pub reason: Name,
    /// Who is responsible for them.
    pub owner: Name,
}

/// Fields of a declaration that are not parsed yet, from JSON or from an INI section, where every
/// value is a string.
struct Fields<'a> {
    id: &'a ObjectId,
    map: Map<String, Value>,
    faults: Vec<Fault>,
}

/// Parses the declaration of `id` from `map`.
///
/// # Errors
/// Every fault in the fields, unknown fields included.
pub fn parse_declaration(
    id: &ObjectId,
    map: Map<String, Value>,
) -> Result<Declaration, Vec<Fault>> {
    let mut f = Fields {
        id,
        map,
        faults: Vec::new(),
    };
    let item = f.item();
    let values = Setting::ALL
        .into_iter()
        .filter(|s| s.target() == id.sort)
        .filter_map(|s| Some((s, f.number(s.as_str())?)))
        .collect();
    let reason = f.text("reason").unwrap_or_default();
    let owner = f.text("owner").unwrap_or_default();
    let unknown: Vec<String> = f.map.keys().cloned().collect();
    for name in unknown {
        let allowed = allowed_fields(id.sort);
        f.fault(&name, format!("is unknown; allowed are {allowed}"));
    }
    if !f.faults.is_empty() {
        return Err(f.faults);
    }
    Ok(Declaration {
        id: id.clone(),
        item,
        values,
        reason,
        owner,
    })
}

fn allowed_fields(sort: Sort) -> &'static str {
    match sort {
        Sort::Workspace => "weight, rate, burst, reason, owner",
        Sort::Key => "workspace, label, withdrawn",
        Sort::Model => "version, adapters, tokens, reason, owner",
        Sort::Server => "addr, domain, models, role, fenced, leaving, slots, reason, owner",
        Sort::Route => "addrs, open, repeatable",
        Sort::Default => "value",
        Sort::Exception => "value, reason, owner, end",
    }
}

impl Fields<'_> {
    fn item(&mut self) -> Item {
        match self.id.sort {
            Sort::Workspace => Item::Workspace {},
            Sort::Key => Item::Key {
                workspace: self.required("workspace"),
                label: self.text("label").unwrap_or_default(),
                withdrawn: self.flag("withdrawn"),
            },
            Sort::Model => Item::Model {
                version: self.required("version"),
                adapters: self.names("adapters"),
            },
            Sort::Server => Item::Server {
                addr: self.addr("addr"),
                domain: self.required("domain"),
                models: self.names("models"),
                role: self.text("role").unwrap_or_default(),
                fenced: self.flag("fenced"),
                leaving: self.flag("leaving"),
            },
            Sort::Route => Item::Route {
                addrs: self.addrs("addrs"),
                open: self.flag("open"),
                repeatable: self.flag("repeatable"),
            },
            Sort::Default => Item::Default {
                value: self.required_number("value"),
            },
            Sort::Exception => Item::Exception {
                value: self.required_number("value"),
                reason: self.required("reason"),
                owner: self.required("owner"),
                end: self.number("end"),
            },
        }
    }

    fn fault(&mut self, field: &str, text: String) {
        self.faults.push(Fault {
            id: self.id.clone(),
            field: field.into(),
            text: text.into(),
        });
    }

    fn text(&mut self, field: &str) -> Option<Name> {
        match self.map.remove(field)? {
            Value::String(text) => Some(text.trim().into()),
            other => {
                self.fault(field, format!("{other} is not a string"));
                None
            }
        }
    }

    fn required(&mut self, field: &str) -> Name {
        if !self.map.contains_key(field) {
            self.fault(field, "is missing".into());
        }
        self.text(field).unwrap_or_default()
    }

    fn number<N: FromStr>(&mut self, field: &str) -> Option<N> {
        let value = self.map.remove(field)?;
        let parsed = match &value {
            Value::Number(number) => number.to_string().parse().ok(),
            Value::String(text) => text.trim().parse().ok(),
            _ => None,
        };
        if parsed.is_none() {
            self.fault(field, format!("{value} is not a whole number"));
        }
        parsed
    }

    fn required_number(&mut self, field: &str) -> u32 {
        if !self.map.contains_key(field) {
            self.fault(field, "is missing".into());
        }
        // `number` has reported the fault; one is an allowed value, so no second fault follows.
        self.number(field).unwrap_or(1)
    }

    fn flag(&mut self, field: &str) -> bool {
        match self.map.remove(field) {
            None => false,
            Some(Value::Bool(flag)) => flag,
            Some(Value::String(text)) if text == "true" || text == "false" => text == "true",
            Some(other) => {
                self.fault(field, format!("{other} is neither true nor false"));
                false
            }
        }
    }

    /// A list of strings, or one comma-separated string.
    fn list(&mut self, field: &str) -> Vec<String> {
        let value = self.map.remove(field).unwrap_or(Value::Array(Vec::new()));
        match &value {
            Value::Array(all) if all.iter().all(Value::is_string) => all
                .iter()
                .filter_map(|v| v.as_str().map(str::to_string))
                .collect(),
            Value::String(text) if text.trim().is_empty() => Vec::new(),
            Value::String(text) => text.split(',').map(|t| t.trim().to_string()).collect(),
            other => {
                self.fault(field, format!("{other} is not a list of strings"));
                Vec::new()
            }
        }
    }

    fn names(&mut self, field: &str) -> Vec<Name> {
        let mut names: Vec<Name> = self.list(field).into_iter().map(Name::from).collect();
        names.sort();
        names
    }

    fn addrs(&mut self, field: &str) -> Vec<std::net::SocketAddr> {
        let mut addrs = Vec::new();
        for text in self.list(field) {
            match text.parse() {
                Ok(addr) => addrs.push(addr),
                Err(_) => self.fault(field, format!("\"{text}\" is not IP:PORT")),
            }
        }
        addrs
    }

    fn addr(&mut self, field: &str) -> std::net::SocketAddr {
        let text = self.required(field);
        if text.is_empty() {
            return ([0, 0, 0, 0], 0).into();
        }
        text.parse().unwrap_or_else(|_| {
            self.fault(field, format!("\"{text}\" is not IP:PORT"));
            ([0, 0, 0, 0], 0).into()
        })
    }
}
