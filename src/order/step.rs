//! Decides the next order to one backend server from its desired and actual state.

use crate::{
    clock::Time,
    config::State,
    engine::{Action, Loaded, LoadedModel},
    wire::Name,
};
use std::time::Duration;

/// Failed tries of a replacement before the previous version is loaded again. A single failure may
/// come from a late order of an earlier issuer.
const REPLACE_TRIES: u32 = 2;

/// Desired state of a server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// Models, sorted by name.
    pub models: Vec<LoadedModel>,
    /// Role; empty if any role will do.
    pub role: Name,
}

impl Placement {
    /// Declared state of `server`; `None` if it is not declared or is leaving.
    pub fn of(state: &State, server: &str) -> Option<Self> {
        let declared = state.server(server).filter(|s| !s.leaving)?;
        let mut models: Vec<LoadedModel> = declared
            .models
            .iter()
            .filter_map(|name| state.model(name))
            .map(|m| LoadedModel {
                name: m.name.clone(),
                version: m.version.clone(),
                adapters: m.adapters.clone(),
            })
            .collect();
        models.sort();
        Some(Self {
            models,
            role: state.role(server),
        })
    }
}

/// Next step towards the desired state of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The server has the desired state.
    Settled,
    /// An outstanding order or running work must end first.
    Wait,
    /// Load a missing model, which reads the weight store.
    Load(LoadedModel),
    /// Replace a model by this version. The caller checks whether draining the model may start.
    Replace(LoadedModel),
    /// Send an order that does not read the weight store.
    Order(Action),
}

/// An order whose effect has not been read back yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    action: Action,
    at: Time,
    /// Version that the order replaces.
    previous: Option<LoadedModel>,
}

/// A replacement that failed, and the version to go back to.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Failed {
    wanted: LoadedModel,
    previous: LoadedModel,
    tries: u32,
}

impl Sent {
    /// Whether the server has a version that the order neither asks for nor replaces, because an
    /// order of another issuer arrived later.
    fn is_overtaken(&self, loaded: &Loaded) -> bool {
        let Action::Load(wanted) = &self.action else {
            return false;
        };
        let has = find(&loaded.models, &wanted.name);
        has.is_some_and(|has| has != wanted && Some(has) != self.previous.as_ref())
    }
}

/// Orders of one issuer to one server; at most one is outstanding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Track {
    /// Time within which an order must take effect.
    timeout: Duration,
    sent: Option<Sent>,
    failed: Vec<Failed>,
    /// Models that get no new work, sorted.
    draining: Vec<Name>,
    /// Loaded versions of the models that are being drained.
    replaced: Vec<LoadedModel>,
}

impl Track {
    /// A track without orders. An order fails if it has no effect within `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            sent: None,
            failed: Vec::new(),
            draining: Vec::new(),
            replaced: Vec::new(),
        }
    }

    /// Whether `model` gets no new work.
    pub fn is_draining(&self, model: &str) -> bool {
        self.draining.binary_search_by(|n| (**n).cmp(model)).is_ok()
    }

    /// Models that get no new work, sorted.
    pub fn draining(&self) -> &[Name] {
        &self.draining
    }

    /// Whether an order is outstanding.
    pub fn is_waiting(&self) -> bool {
        self.sent.is_some()
    }

    /// Versions whose replacement failed, so that the previous version is loaded instead.
    pub fn failures(&self) -> impl Iterator<Item = &LoadedModel> {
        let failed = self.failed.iter().filter(|f| f.tries >= REPLACE_TRIES);
        failed.map(|f| &f.wanted)
    }

    /// Next step from `loaded`, as just read back, towards `wanted`. `running` counts the requests
    /// that run or wait for a model.
    pub fn step(
        &mut self,
        now: Time,
        wanted: &Placement,
        loaded: &Loaded,
        running: impl Fn(&Name) -> usize,
    ) -> Step {
        self.failed.retain(|f| wanted.models.contains(&f.wanted));
        if self.is_pending(now, loaded) {
            return Step::Wait;
        }
        let wanted_models = self.with_fallbacks(wanted);
        self.draining.retain(|name| {
            let has = find(&loaded.models, name);
            has.is_none() || has != find(&wanted_models, name)
        });
        for want in &wanted_models {
            match find(&loaded.models, &want.name) {
                None => return Step::Load(want.clone()),
                Some(has) if has == want => {}
                Some(_) if !self.is_draining(&want.name) => return Step::Replace(want.clone()),
                Some(_) if running(&want.name) > 0 => return Step::Wait,
                Some(_) => return Step::Load(want.clone()),
            }
        }
        self.remove_extra(wanted, &wanted_models, loaded, running)
    }

    /// Unloads models that are not wanted, then sets the role.
    fn remove_extra(
        &mut self,
        wanted: &Placement,
        models: &[LoadedModel],
        loaded: &Loaded,
        running: impl Fn(&Name) -> usize,
    ) -> Step {
        let extra = loaded
            .models
            .iter()
            .find(|l| find(models, &l.name).is_none());
        if let Some(extra) = extra {
            self.drain(extra);
            if running(&extra.name) > 0 {
                return Step::Wait;
            }
            return Step::Order(Action::Unload(extra.name.clone()));
        }
        if !wanted.role.is_empty() && wanted.role != loaded.role {
            return Step::Order(Action::Role(wanted.role.clone()));
        }
        Step::Settled
    }

    /// Starts to drain `has`: it gets no new work.
    pub fn drain(&mut self, has: &LoadedModel) {
        if let Err(at) = self.draining.binary_search(&has.name) {
            self.draining.insert(at, has.name.clone());
        }
        self.replaced.retain(|r| r.name != has.name);
        self.replaced.push(has.clone());
    }

    /// Records `action` as outstanding, right before it is sent.
    pub fn set_outstanding(&mut self, now: Time, action: &Action) {
        let previous = match action {
            Action::Load(model) => find(&self.replaced, &model.name).cloned(),
            _ => None,
        };
        self.sent = Some(Sent {
            action: action.clone(),
            at: now,
            previous,
        });
    }

    /// Drops the outstanding order, because it was refused or never sent.
    pub fn clear_outstanding(&mut self) {
        self.sent = None;
    }

    /// Whether the outstanding order may still take effect. One that times out counts as failed.
    fn is_pending(&mut self, now: Time, loaded: &Loaded) -> bool {
        let Some(sent) = &self.sent else {
            return false;
        };
        if took_effect(&sent.action, loaded) {
            if let Action::Load(model) = &sent.action {
                self.replaced.retain(|r| r.name != model.name);
            }
            self.sent = None;
            return false;
        }
        let overtaken = sent.is_overtaken(loaded);
        if !overtaken && now < sent.at + self.timeout {
            return true;
        }
        if let Some(sent) = self.sent.take().filter(|_| !overtaken) {
            self.note_failure(sent);
        }
        false
    }

    fn note_failure(&mut self, sent: Sent) {
        let (Action::Load(wanted), Some(previous)) = (sent.action, sent.previous) else {
            return;
        };
        if wanted == previous {
            return;
        }
        match self.failed.iter_mut().find(|f| f.wanted == wanted) {
            Some(failed) => failed.tries += 1,
            None => self.failed.push(Failed {
                wanted,
                previous,
                tries: 1,
            }),
        }
    }

    /// Models of `wanted`, with the previous version in place of one that failed.
    fn with_fallbacks(&self, wanted: &Placement) -> Vec<LoadedModel> {
        let models = wanted.models.iter();
        models
            .map(|want| {
                let mut failed = self.failed.iter();
                let failed = failed.find(|f| f.wanted == *want && f.tries >= REPLACE_TRIES);
                failed.map_or(want, |f| &f.previous).clone()
            })
            .collect()
    }
}

fn took_effect(action: &Action, loaded: &Loaded) -> bool {
    match action {
        Action::Load(model) => find(&loaded.models, &model.name) == Some(model),
        Action::Unload(name) => find(&loaded.models, name).is_none(),
        Action::Role(role) => loaded.role == *role,
    }
}

fn find<'a>(models: &'a [LoadedModel], name: &str) -> Option<&'a LoadedModel> {
    models.iter().find(|m| *m.name == *name)
}
