//! Validates changes and collects every fault.

use super::{Change, Edit, Fault, Item, Object, ObjectId, Setting, Sort, State};
use crate::wire::Name;

/// Maximum length of an object's name in bytes.
const NAME_MAX: usize = 128;
/// Maximum length of a reason, owner or other text in bytes.
const TEXT_MAX: usize = 1024;
/// Maximum number of edits in one change.
const EDITS_MAX: usize = 10_000;
/// Hexadecimal digits of a SHA-256 digest.
const HASH_LEN: usize = 64;
/// Paths on the callers' port that no route may use.
const RESERVED: [&str; 3] = ["/v1", "/healthz", "/readyz"];

/// Each edited object as it was before the change.
pub(super) type Before = [(ObjectId, Option<Object>)];

/// Object and setting of the exception `name`, which has the form `OBJECT/SETTING`.
pub fn exception_target(name: &str) -> Option<(&str, Setting)> {
    let (object, setting) = name.rsplit_once('/')?;
    Some((object, Setting::parse(setting)?))
}

/// Faults that can be found without the state.
pub fn check_change(change: &Change) -> Vec<Fault> {
    let mut faults = Faults::default();
    if change.edits.is_empty() || change.edits.len() > EDITS_MAX {
        let text = format!(
            "{} objects; give 1 to {EDITS_MAX} in one change",
            change.edits.len()
        );
        faults.add(
            &ObjectId::new(Sort::Default, change.id.clone()),
            "edits",
            text,
        );
    }
    for (i, edit) in change.edits.iter().enumerate() {
        if change.edits[..i].iter().any(|e| e.id == edit.id) {
            faults.add(&edit.id, "name", "is changed twice in one change".into());
        }
        check_name(&mut faults, &edit.id);
        if let Some(item) = &edit.item {
            check_item(&mut faults, &edit.id, item);
        }
    }
    faults.0
}

/// Faults in the state `after` the change, such as dangling references.
pub(super) fn check_effect(after: &State, change: &Change, before: &Before) -> Vec<Fault> {
    let mut faults = Faults::default();
    for (edit, (_, old)) in change.edits.iter().zip(before) {
        match &edit.item {
            Some(item) => check_refs(&mut faults, after, change, edit, item, old.as_ref()),
            None => check_withdrawal(&mut faults, after, &edit.id, old.as_ref()),
        }
    }
    faults.0
}

#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, id: &ObjectId, field: &str, text: String) {
        self.0.push(Fault {
            id: id.clone(),
            field: field.into(),
            text: text.into(),
        });
    }
}

fn check_name(faults: &mut Faults, id: &ObjectId) {
    let name = &*id.name;
    let fits = (1..=NAME_MAX).contains(&name.len());
    let is_plain = |text: &str| {
        !text.is_empty()
            && text
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b))
    };
    let (is_valid, allowed) = match id.sort {
        Sort::Key => (is_hash(name), "the SHA-256 of the key in hexadecimal"),
        Sort::Default => (
            Setting::parse(name).is_some(),
            "one of weight, rate, burst, tokens, slots",
        ),
        Sort::Exception => (
            exception_target(name).is_some_and(|(object, _)| is_plain(object)),
            "OBJECT/SETTING with a setting out of weight, rate, burst, tokens, slots",
        ),
        Sort::Route => (
            fits && is_path(name),
            "a path such as /svc/lookup, not below /v1, /healthz or /readyz",
        ),
        _ => (
            fits && is_plain(name),
            "1 to 128 letters, digits, \"-\", \"_\", \".\" and \":\"",
        ),
    };
    if !is_valid {
        faults.add(id, "name", format!("\"{name}\" is not {allowed}"));
    }
}

fn is_hash(name: &str) -> bool {
    name.len() == HASH_LEN
        && name
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

fn is_path(name: &str) -> bool {
    let is_below = |r: &str| {
        name.strip_prefix(r)
            .is_some_and(|t| t.is_empty() || t.starts_with('/'))
    };
    name.len() > 1
        && name.starts_with('/')
        && !name.ends_with('/')
        && !name.contains("//")
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_./~".contains(&b))
        && !RESERVED.into_iter().any(is_below)
}

fn check_item(faults: &mut Faults, id: &ObjectId, item: &Item) {
    if item.sort() != id.sort {
        let text = format!("declares a {}", item.sort().as_str());
        faults.add(id, "sort", text);
        return;
    }
    match item {
        Item::Workspace {} => {}
        Item::Key { label, .. } => check_text(faults, id, "label", label, false),
        Item::Model { version, adapters } => {
            check_text(faults, id, "version", version, true);
            check_unique(faults, id, "adapters", adapters);
        }
        Item::Server { domain, models, .. } => {
            check_text(faults, id, "domain", domain, true);
            check_unique(faults, id, "models", models);
        }
        Item::Route { addrs, .. } => {
            if addrs.is_empty() {
                faults.add(id, "addrs", "is empty; give at least one IP:PORT".into());
            }
        }
        Item::Default { value } => check_value(faults, id, Setting::parse(&id.name), *value),
        Item::Exception {
            value,
            reason,
            owner,
            ..
        } => {
            check_value(faults, id, exception_target(&id.name).map(|t| t.1), *value);
            check_text(faults, id, "reason", reason, true);
            check_text(faults, id, "owner", owner, true);
        }
    }
}

fn check_value(faults: &mut Faults, id: &ObjectId, setting: Option<Setting>, value: u32) {
    let Some(setting) = setting else {
        return;
    };
    let max = setting.max();
    if !(1..=max).contains(&value) {
        faults.add(id, "value", format!("{value} is not from 1 to {max}"));
    }
}

fn check_text(faults: &mut Faults, id: &ObjectId, field: &str, text: &str, required: bool) {
    if required && text.trim().is_empty() {
        faults.add(id, field, "is empty; it is required".into());
    }
    if text.len() > TEXT_MAX {
        let size = text.len();
        faults.add(
            id,
            field,
            format!("has {size} bytes; {TEXT_MAX} are allowed"),
        );
    }
}

fn check_unique(faults: &mut Faults, id: &ObjectId, field: &str, names: &[Name]) {
    for (i, name) in names.iter().enumerate() {
        if name.is_empty() {
            faults.add(id, field, "contains an empty name".into());
        } else if names[..i].contains(name) {
            faults.add(id, field, format!("names \"{name}\" twice"));
        }
    }
}

fn check_refs(
    faults: &mut Faults,
    after: &State,
    change: &Change,
    edit: &Edit,
    item: &Item,
    old: Option<&Object>,
) {
    let id = &edit.id;
    match item {
        Item::Key {
            workspace,
            withdrawn,
            ..
        } => {
            require_object(faults, after, id, "workspace", Sort::Workspace, workspace);
            check_key(faults, id, workspace, *withdrawn, old);
        }
        Item::Server { addr, models, .. } => {
            for model in models {
                require_object(faults, after, id, "models", Sort::Model, model);
            }
            let taken = after.objects(Sort::Server).iter().find(
                |o| matches!(&o.item, Item::Server { addr: a, .. } if a == addr && o.id != *id),
            );
            if let Some(other) = taken {
                faults.add(
                    id,
                    "addr",
                    format!("{addr} is the address of {}", other.id.name),
                );
            }
        }
        Item::Exception { value, .. } => check_exception(faults, after, change, id, *value),
        _ => {}
    }
}

fn check_key(
    faults: &mut Faults,
    id: &ObjectId,
    workspace: &Name,
    withdrawn: bool,
    old: Option<&Object>,
) {
    let Some(Item::Key {
        workspace: owner,
        withdrawn: was_withdrawn,
        ..
    }) = old.map(|o| &o.item)
    else {
        return;
    };
    if *was_withdrawn && !withdrawn {
        let text = "a withdrawn key cannot be used again; issue a new one";
        faults.add(id, "withdrawn", text.into());
    }
    if owner != workspace {
        let text = format!("the key belongs to \"{owner}\"; issue a new one for \"{workspace}\"");
        faults.add(id, "workspace", text);
    }
}

fn check_exception(faults: &mut Faults, after: &State, change: &Change, id: &ObjectId, value: u32) {
    let Some((name, setting)) = exception_target(&id.name) else {
        return;
    };
    let object = ObjectId::new(setting.target(), name);
    if after.object(&object).is_none() {
        let text = format!("there is no {} \"{name}\"", object.sort.as_str());
        faults.add(id, "name", text);
        return;
    }
    if value == after.default_of(setting) {
        let text = format!("{value} is the default; the exception has no effect");
        faults.add(id, "value", text);
    }
    let is_created = change.edits.iter().any(|e| e.id == object && e.base == 0);
    if object.sort == Sort::Workspace && !is_created && !has_active_keys(after, name) {
        let text = format!("workspace \"{name}\" has no key in use; issue one first");
        faults.add(id, "name", text);
    }
}

fn has_active_keys(after: &State, name: &str) -> bool {
    after.objects(Sort::Key).iter().any(|o| {
        matches!(&o.item, Item::Key { workspace, withdrawn: false, .. } if **workspace == *name)
    })
}

/// Checks that nothing in the state `after` the change depends on the withdrawn object.
fn check_withdrawal(faults: &mut Faults, after: &State, id: &ObjectId, old: Option<&Object>) {
    if old.is_none() {
        faults.add(id, "name", "does not exist".into());
        return;
    }
    match id.sort {
        Sort::Key => faults.add(
            id,
            "withdrawn",
            "a key is kept as withdrawn, not removed".into(),
        ),
        Sort::Workspace if has_active_keys(after, &id.name) => {
            faults.add(
                id,
                "name",
                "has keys in use; withdraw them with it or first".into(),
            );
        }
        Sort::Model => {
            for server in after.objects(Sort::Server) {
                if matches!(&server.item, Item::Server { models, .. } if models.contains(&id.name))
                {
                    let text = format!("server \"{}\" is to have it loaded", server.id.name);
                    faults.add(id, "name", text);
                }
            }
        }
        _ => {}
    }
    for setting in Setting::ALL.iter().filter(|s| s.target() == id.sort) {
        let exception = ObjectId::exception(&id.name, *setting);
        if after.object(&exception).is_some() {
            let text = format!("{exception} would be left over; withdraw it too");
            faults.add(id, "name", text);
        }
    }
}

fn require_object(
    faults: &mut Faults,
    after: &State,
    id: &ObjectId,
    field: &str,
    sort: Sort,
    name: &Name,
) {
    if after.object(&ObjectId::new(sort, name.clone())).is_none() {
        let text = format!("there is no {} \"{name}\"", sort.as_str());
        faults.add(id, field, text);
    }
}
