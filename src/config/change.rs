//! Configuration changes, as operators request them and as the log stores them.

use super::{Key, Model, Route, Server, Workspace};
use crate::{fold::Pos, wire::Name};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// Sort of a declared object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Sort {
    /// A workspace.
    Workspace,
    /// A caller's key, named by its hash.
    Key,
    /// A model.
    Model,
    /// A backend server.
    Server,
    /// A route to a plain service, named by its path.
    Route,
    /// A fleet-wide default, named by its setting.
    Default,
    /// An exception from a default, named `OBJECT/SETTING`.
    Exception,
}

impl Sort {
    /// All sorts, each after those that its objects may refer to.
    pub const ALL: [Sort; 7] = [
        Sort::Workspace,
        Sort::Key,
        Sort::Model,
        Sort::Server,
        Sort::Route,
        Sort::Default,
        Sort::Exception,
    ];

    /// Plural name, as in paths and messages.
    pub const fn plural(self) -> &'static str {
        match self {
            Sort::Workspace => "workspaces",
            Sort::Key => "keys",
            Sort::Model => "models",
            Sort::Server => "servers",
            Sort::Route => "routes",
            Sort::Default => "defaults",
            Sort::Exception => "exceptions",
        }
    }

    /// Singular name, as in messages and section headers of declaration files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Sort::Workspace => "workspace",
            Sort::Key => "key",
            Sort::Model => "model",
            Sort::Server => "server",
            Sort::Route => "route",
            Sort::Default => "default",
            Sort::Exception => "exception",
        }
    }

    /// The sort that `word` names, in the singular or plural.
    pub fn parse(word: &str) -> Option<Self> {
        let mut all = Self::ALL.into_iter();
        all.find(|s| s.as_str() == word || s.plural() == word)
    }
}

/// Identifies a declared object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectId {
    /// Sort of the object.
    pub sort: Sort,
    /// Name, unique within the sort.
    pub name: Name,
}

impl ObjectId {
    /// Id of the object `name` of `sort`.
    pub fn new(sort: Sort, name: impl Into<Name>) -> Self {
        Self {
            sort,
            name: name.into(),
        }
    }

    /// Id of the exception of `object` from the default of `setting`.
    pub fn exception(object: &str, setting: Setting) -> Self {
        Self::new(Sort::Exception, format!("{object}/{}", setting.as_str()))
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.sort.plural(), self.name)
    }
}

/// A value with a fleet-wide default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Setting {
    /// Weight of a workspace in fair shares.
    Weight,
    /// Requests per minute of a workspace.
    Rate,
    /// Maximum burst of requests of a workspace after an idle period.
    Burst,
    /// Maximum tokens in one answer of a model.
    Tokens,
    /// Requests that a backend server runs concurrently at full speed.
    Slots,
}

impl Setting {
    /// All settings.
    pub const ALL: [Setting; 5] = [
        Setting::Weight,
        Setting::Rate,
        Setting::Burst,
        Setting::Tokens,
        Setting::Slots,
    ];

    /// Name in paths and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Setting::Weight => "weight",
            Setting::Rate => "rate",
            Setting::Burst => "burst",
            Setting::Tokens => "tokens",
            Setting::Slots => "slots",
        }
    }

    /// The setting that `word` names.
    pub fn parse(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.as_str() == word)
    }

    /// Sort of the objects that have the setting.
    pub const fn target(self) -> Sort {
        match self {
            Setting::Weight | Setting::Rate | Setting::Burst => Sort::Workspace,
            Setting::Tokens => Sort::Model,
            Setting::Slots => Sort::Server,
        }
    }

    /// Built-in default, in force until operators declare one.
    pub const fn initial(self) -> u32 {
        match self {
            Setting::Weight => 1,
            Setting::Rate => 600,
            Setting::Burst => 100,
            Setting::Tokens => 1024,
            Setting::Slots => 8,
        }
    }

    /// Maximum allowed value; the minimum is one.
    pub const fn max(self) -> u32 {
        match self {
            Setting::Weight => 10_000,
            Setting::Rate => 100_000_000,
            Setting::Burst => 10_000_000,
            Setting::Tokens => 1_000_000,
            Setting::Slots => 100_000,
        }
    }
}

/// Declaration of an object, whose name is in its id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Item {
    /// A workspace.
    Workspace {},
    /// A caller's key.
    Key {
        /// Workspace that requests with the key run for.
        workspace: Name,
        /// Name by which operators know the key.
        label: Name,
        /// Whether it was withdrawn.
        #[serde(default)]
        withdrawn: bool,
    },
    /// A model.
    Model {
        /// Version to serve.
        version: Name,
        /// Adapters that callers may name.
        #[serde(default)]
        adapters: Vec<Name>,
    },
    /// A backend server.
    Server {
        /// Address of its HTTP interface.
        addr: SocketAddr,
        /// Failure domain.
        domain: Name,
        /// Models to have loaded.
        #[serde(default)]
        models: Vec<Name>,
        /// Role, such as `mixed`; empty for any.
        #[serde(default)]
        role: Name,
        /// Whether it rejects orders with a stale fencing token.
        #[serde(default)]
        fenced: bool,
        /// Whether it is leaving and gets no new requests.
        #[serde(default)]
        leaving: bool,
    },
    /// A route to a plain service.
    Route {
        /// Addresses of the service.
        addrs: Vec<SocketAddr>,
        /// Whether callers need no key.
        #[serde(default)]
        open: bool,
        /// Whether a call may be sent more than once.
        #[serde(default)]
        repeatable: bool,
    },
    /// A fleet-wide default.
    Default {
        /// Value for objects without an exception.
        value: u32,
    },
    /// An exception from a default.
    Exception {
        /// Value for the object.
        value: u32,
        /// Why the object differs from the default; required.
        reason: Name,
        /// Who is responsible for it; required.
        owner: Name,
        /// Unix time in seconds at which it ends; `None` for never.
        #[serde(default)]
        end: Option<u64>,
    },
}

impl Item {
    /// Sort of objects that the item declares.
    pub const fn sort(&self) -> Sort {
        match self {
            Item::Workspace {} => Sort::Workspace,
            Item::Key { .. } => Sort::Key,
            Item::Model { .. } => Sort::Model,
            Item::Server { .. } => Sort::Server,
            Item::Route { .. } => Sort::Route,
            Item::Default { .. } => Sort::Default,
            Item::Exception { .. } => Sort::Exception,
        }
    }
}

/// The part of a change that concerns one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The object.
    pub id: ObjectId,
    /// Revision of the object that the edit is based on; zero if it did not exist.
    pub base: Pos,
    /// The new declaration, or `None` to withdraw the object.
    pub item: Option<Item>,
}

/// A set of edits that is accepted as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key: a change with this id is applied at most once.
    pub id: Name,
    /// Who requested it.
    pub author: Name,
    /// Why it was requested.
    pub reason: Name,
    /// Edits, at most one for each object.
    pub edits: Vec<Edit>,
}

impl Change {
    /// A change without edits.
    pub fn new(id: impl Into<Name>, author: impl Into<Name>, reason: impl Into<Name>) -> Self {
        Self {
            id: id.into(),
            author: author.into(),
            reason: reason.into(),
            edits: Vec::new(),
        }
    }

    /// Adds an edit.
    pub fn edit(mut self, id: ObjectId, base: Pos, item: Option<Item>) -> Self {
        self.edits.push(Edit { id, base, item });
        self
    }

    /// Adds a new workspace, with exceptions for values other than the built-in defaults.
    pub fn workspace(self, workspace: &Workspace) -> Self {
        let name = &workspace.name;
        self.edit(
            ObjectId::new(Sort::Workspace, name.clone()),
            0,
            Some(Item::Workspace {}),
        )
        .exception(name, Setting::Weight, workspace.weight)
        .exception(name, Setting::Rate, workspace.rate)
        .exception(name, Setting::Burst, workspace.burst)
    }

    /// Adds a new key.
    pub fn key(self, key: &Key) -> Self {
        let item = Item::Key {
            workspace: key.workspace.clone(),
            label: key.label.clone(),
            withdrawn: key.withdrawn,
        };
        self.edit(ObjectId::new(Sort::Key, key.hash.clone()), 0, Some(item))
    }

    /// Adds a new model, with an exception if `tokens` is not the built-in default.
    pub fn model(self, model: &Model) -> Self {
        let item = Item::Model {
            version: model.version.clone(),
            adapters: model.adapters.clone(),
        };
        self.edit(
            ObjectId::new(Sort::Model, model.name.clone()),
            0,
            Some(item),
        )
        .exception(&model.name, Setting::Tokens, model.tokens)
    }

    /// Adds a new backend server, with an exception if `slots` is not the built-in default.
    pub fn server(self, server: &Server) -> Self {
        let item = Item::Server {
            addr: server.addr,
            domain: server.domain.clone(),
            models: server.models.clone(),
            role: Name::default(),
            fenced: server.fenced,
            leaving: server.leaving,
        };
        self.edit(
            ObjectId::new(Sort::Server, server.name.clone()),
            0,
            Some(item),
        )
        .exception(&server.name, Setting::Slots, server.slots)
    }

    /// Adds a new route.
    pub fn route(self, route: &Route) -> Self {
        let item = Item::Route {
            addrs: route.addrs.clone(),
            open: route.open,
            repeatable: route.repeatable,
        };
        self.edit(
            ObjectId::new(Sort::Route, route.path.clone()),
            0,
            Some(item),
        )
    }

    fn exception(self, object: &str, setting: Setting, value: u32) -> Self {
        if value == setting.initial() {
            return self;
        }
        let item = Item::Exception {
            value,
            reason: self.reason.clone(),
            owner: self.author.clone(),
            end: None,
        };
        self.edit(ObjectId::exception(object, setting), 0, Some(item))
    }
}
