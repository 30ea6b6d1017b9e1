//! Evaluates the records of the configuration stream and applies them to the state.

use super::{
    Change, Claim, Conflict, Edit, Issuer, Item, Key, Model, Object, ObjectId, Outcome, Record,
    Route, Server, Setting, Sort, State, Verdict, Workspace, check, exception_target,
};
use crate::{
    fold::{Fold, Pos},
    wire::Name,
};
use twox_hash::XxHash64;

/// Maximum number of outcomes kept: about three days of changes at 23,000 a day.
const OUTCOMES_MAX: usize = 65_536;
/// Maximum number of withdrawn keys kept; a key that is kept cannot be issued again.
const WITHDRAWN_MAX: usize = 65_536;

impl Fold for State {
    type Record = Record;
    const STREAM: &'static str = "config";

    fn apply(&mut self, at: Pos, rec: &Record) {
        match rec {
            Record::Change(change) => self.apply_change(at, change),
            Record::Claim(claim) => self.apply_claim(at, claim),
        }
    }
}

impl State {
    /// Outcome of the change `id`; `None` if it was not evaluated or its outcome was dropped.
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        let at = self.outcomes.binary_search_by(|o| (*o.id).cmp(id)).ok()?;
        self.outcomes.get(at)
    }

    /// The declared object `id`.
    pub fn object(&self, id: &ObjectId) -> Option<&Object> {
        let at = self.objects.binary_search_by(|o| o.id.cmp(id)).ok()?;
        self.objects.get(at)
    }

    /// All declared objects of `sort`, by name.
    pub fn objects(&self, sort: Sort) -> &[Object] {
        let start = self.objects.partition_point(|o| o.id.sort < sort);
        let count = self.objects[start..].partition_point(|o| o.id.sort == sort);
        &self.objects[start..start + count]
    }

    /// Revision of the object `id`; zero if it does not exist.
    pub fn revision_of(&self, id: &ObjectId) -> Pos {
        self.object(id).map_or(0, |o| o.revision)
    }

    /// The fleet-wide default of `setting`.
    pub fn default_of(&self, setting: Setting) -> u32 {
        let id = ObjectId::new(Sort::Default, setting.as_str());
        match self.object(&id).map(|o| &o.item) {
            Some(Item::Default { value }) => *value,
            _ => setting.initial(),
        }
    }

    /// The value in force of `setting` for the object `name`.
    pub fn value_of(&self, name: &str, setting: Setting) -> u32 {
        match self
            .object(&ObjectId::exception(name, setting))
            .map(|o| &o.item)
        {
            Some(Item::Exception { value, .. }) => *value,
            _ => self.default_of(setting),
        }
    }

    /// Sets a declaration without validating it, for planning on a copy of the state.
    pub(super) fn set_item(&mut self, id: &ObjectId, item: Option<Item>) {
        let new = item.map(|item| Object {
            id: id.clone(),
            revision: 0,
            change: Name::default(),
            author: Name::default(),
            item,
        });
        self.replace(id, new);
    }

    /// The role declared for `server`; empty for any.
    pub fn role(&self, server: &str) -> Name {
        let id = ObjectId::new(Sort::Server, server);
        match self.object(&id).map(|o| &o.item) {
            Some(Item::Server { role, .. }) => role.clone(),
            _ => Name::default(),
        }
    }

    /// The host that may send orders to `server`, with its fencing token.
    pub fn issuer(&self, server: &str) -> Option<&Issuer> {
        let at = self
            .issuers
            .binary_search_by(|i| (*i.server).cmp(server))
            .ok()?;
        self.issuers.get(at)
    }

    fn apply_change(&mut self, at: Pos, change: &Change) {
        let Err(index) = self.outcomes.binary_search_by(|o| o.id.cmp(&change.id)) else {
            return;
        };
        let verdict = self.evaluate(at, change);
        if verdict == Verdict::Accepted {
            self.revision = at;
            change.edits.iter().for_each(|e| self.refresh(&e.id));
            self.trim_withdrawn();
        }
        let outcome = Outcome {
            id: change.id.clone(),
            at,
            digest: digest(change),
            verdict,
        };
        self.outcomes.insert(index, outcome);
        self.trim_outcomes();
    }

    /// Evaluates `change` and, if it is accepted, applies its edits.
    fn evaluate(&mut self, at: Pos, change: &Change) -> Verdict {
        let edits = change.edits.iter();
        let conflicts: Vec<Conflict> = edits.filter_map(|e| self.conflict_of(e)).collect();
        if !conflicts.is_empty() {
            return Verdict::Lost(conflicts);
        }
        let faults = check::check_change(change);
        if !faults.is_empty() {
            return Verdict::Refused(faults);
        }
        let before: Vec<(ObjectId, Option<Object>)> = change
            .edits
            .iter()
            .map(|e| (e.id.clone(), self.apply_edit(at, change, e)))
            .collect();
        let faults = check::check_effect(self, change, &before);
        if faults.is_empty() {
            return Verdict::Accepted;
        }
        for (id, old) in before.into_iter().rev() {
            self.replace(&id, old);
        }
        Verdict::Refused(faults)
    }

    fn conflict_of(&self, edit: &Edit) -> Option<Conflict> {
        let object = self.object(&edit.id);
        let revision = object.map_or(0, |o| o.revision);
        (revision != edit.base).then(|| Conflict {
            id: edit.id.clone(),
            base: edit.base,
            revision,
            winner: object.map(|o| o.change.clone()).unwrap_or_default(),
            author: object.map(|o| o.author.clone()).unwrap_or_default(),
        })
    }

    /// Applies `edit` and returns the object that it replaced.
    fn apply_edit(&mut self, at: Pos, change: &Change, edit: &Edit) -> Option<Object> {
        let new = edit.item.clone().map(|item| Object {
            id: edit.id.clone(),
            revision: at,
            change: change.id.clone(),
            author: change.author.clone(),
            item,
        });
        self.replace(&edit.id, new)
    }

    fn replace(&mut self, id: &ObjectId, new: Option<Object>) -> Option<Object> {
        match (self.objects.binary_search_by(|o| o.id.cmp(id)), new) {
            (Ok(i), Some(new)) => Some(std::mem::replace(&mut self.objects[i], new)),
            (Ok(i), None) => Some(self.objects.remove(i)),
            (Err(i), Some(new)) => {
                self.objects.insert(i, new);
                None
            }
            (Err(_), None) => None,
        }
    }

    /// Rebuilds the entries of the derived lists that depend on the object `id`.
    pub(super) fn refresh(&mut self, id: &ObjectId) {
        match id.sort {
            Sort::Workspace => self.refresh_workspace(&id.name),
            Sort::Key => self.refresh_key(&id.name),
            Sort::Model => self.refresh_model(&id.name),
            Sort::Server => self.refresh_server(&id.name),
            Sort::Route => self.refresh_route(&id.name),
            Sort::Default => self.refresh_default(&id.name),
            Sort::Exception => {
                let Some((name, setting)) = exception_target(&id.name) else {
                    return;
                };
                self.refresh(&ObjectId::new(setting.target(), name));
            }
        }
    }

    fn refresh_default(&mut self, setting: &str) {
        let Some(setting) = Setting::parse(setting) else {
            return;
        };
        let objects = self.objects(setting.target());
        let ids: Vec<ObjectId> = objects.iter().map(|o| o.id.clone()).collect();
        ids.iter().for_each(|id| self.refresh(id));
    }

    fn item(&self, sort: Sort, name: &Name) -> Option<&Item> {
        self.object(&ObjectId::new(sort, name.clone()))
            .map(|o| &o.item)
    }

    fn refresh_workspace(&mut self, name: &Name) {
        let new = self.item(Sort::Workspace, name).map(|_| Workspace {
            name: name.clone(),
            weight: self.value_of(name, Setting::Weight),
            rate: self.value_of(name, Setting::Rate),
            burst: self.value_of(name, Setting::Burst),
        });
        set_entry(&mut self.workspaces, |w| &w.name, name, new);
    }

    fn refresh_key(&mut self, hash: &Name) {
        let new = match self.item(Sort::Key, hash) {
            Some(Item::Key {
                workspace,
                label,
                withdrawn,
            }) => Some(Key {
                hash: hash.clone(),
                workspace: workspace.clone(),
                label: label.clone(),
                withdrawn: *withdrawn,
            }),
            _ => None,
        };
        set_entry(&mut self.keys, |k| &k.hash, hash, new);
    }

    fn refresh_model(&mut self, name: &Name) {
        let new = match self.item(Sort::Model, name) {
            Some(Item::Model { version, adapters }) => Some(Model {
                name: name.clone(),
                version: version.clone(),
                adapters: adapters.clone(),
                tokens: self.value_of(name, Setting::Tokens),
            }),
            _ => None,
        };
        set_entry(&mut self.models, |m| &m.name, name, new);
    }

    fn refresh_server(&mut self, name: &Name) {
        let new = match self.item(Sort::Server, name) {
            Some(Item::Server {
                addr,
                domain,
                models,
                fenced,
                leaving,
                ..
            }) => Some(Server {
                name: name.clone(),
                addr: *addr,
                domain: domain.clone(),
                models: models.clone(),
                slots: self.value_of(name, Setting::Slots),
                fenced: *fenced,
                leaving: *leaving,
                start: 0,
                software: Name::default(),
            }),
            _ => None,
        };
        if new.is_none() {
            self.issuers.retain(|i| i.server != *name);
        }
        set_entry(&mut self.servers, |s| &s.name, name, new);
        self.servers_at = self.revision;
    }

    fn refresh_route(&mut self, path: &Name) {
        let new = match self.item(Sort::Route, path) {
            Some(Item::Route {
                addrs,
                open,
                repeatable,
            }) => Some(Route {
                path: path.clone(),
                addrs: addrs.clone(),
                open: *open,
                repeatable: *repeatable,
            }),
            _ => None,
        };
        set_entry(&mut self.routes, |r| &r.path, path, new);
    }

    /// Drops the older half of the outcomes when there are more than `OUTCOMES_MAX`.
    fn trim_outcomes(&mut self) {
        if self.outcomes.len() <= OUTCOMES_MAX {
            return;
        }
        let mut positions: Vec<Pos> = self.outcomes.iter().map(|o| o.at).collect();
        positions.sort_unstable();
        let median = positions[positions.len() / 2];
        self.outcomes.retain(|o| o.at >= median);
    }

    /// Drops the older half of the withdrawn keys when there are more than `WITHDRAWN_MAX`.
    fn trim_withdrawn(&mut self) {
        let is_withdrawn = |o: &Object| {
            matches!(
                o.item,
                Item::Key {
                    withdrawn: true,
                    ..
                }
            )
        };
        if self.objects.len() <= WITHDRAWN_MAX {
            return;
        }
        let keys = self.objects(Sort::Key);
        let mut positions: Vec<Pos> = keys
            .iter()
            .filter(|o| is_withdrawn(o))
            .map(|o| o.revision)
            .collect();
        if positions.len() <= WITHDRAWN_MAX {
            return;
        }
        positions.sort_unstable();
        let median = positions[positions.len() / 2];
        self.objects
            .retain(|o| !is_withdrawn(o) || o.revision >= median);
        let objects = std::mem::take(&mut self.objects);
        self.keys.retain(|k| {
            let id = ObjectId::new(Sort::Key, k.hash.clone());
            objects.binary_search_by(|o| o.id.cmp(&id)).is_ok()
        });
        self.objects = objects;
    }

    fn apply_claim(&mut self, at: Pos, claim: &Claim) {
        if self.server(&claim.server).is_none() {
            return;
        }
        let new = Issuer {
            server: claim.server.clone(),
            host: claim.host.clone(),
            epoch: at,
        };
        let current = self.issuer(&claim.server).map_or(0, |i| i.epoch);
        if current == claim.replaces {
            set_entry(&mut self.issuers, |i| &i.server, &claim.server, Some(new));
        }
    }
}

/// Hash of a change in its encoded form.
pub fn digest(change: &Change) -> u64 {
    let bytes = rmp_serde::to_vec(change).unwrap_or_default();
    XxHash64::oneshot(0, &bytes)
}

fn set_entry<T>(sorted: &mut Vec<T>, key_of: impl Fn(&T) -> &Name, key: &Name, new: Option<T>) {
    match (sorted.binary_search_by(|t| key_of(t).cmp(key)), new) {
        (Ok(i), Some(new)) => sorted[i] = new,
        (Ok(i), None) => {
            sorted.remove(i);
        }
        (Err(i), Some(new)) => sorted.insert(i, new),
        (Err(_), None) => {}
    }
}
