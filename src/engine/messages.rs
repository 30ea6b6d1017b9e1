//! Messages of the engines' HTTP interface, in JSON.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `POST /v1/generate` | [`Generate`] | lines of [`Piece`], chunked |
//! | `POST /v1/cancel` | [`Target`] | [`Cancelled`] |
//! | `POST /v1/export` | [`Target`] | [`Exported`]; ends the stream with [`End::Exported`] |
//! | `GET /v1/load` | | [`Load`], possibly outdated |
//! | `GET /v1/cache?from=SEQ` | | [`CacheEvents`], delayed and with gaps |
//! | `GET /v1/state` | | [`Loaded`], the current state |
//! | `POST /v1/orders` | [`Order`] | [`Loaded`], or 409 with it if the fencing token is old |

use crate::wire::Name;
use serde::{Deserialize, Serialize};

/// Request for a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Request id; a second generation with the id of a running one is refused with status 409.
    pub id: Name,
    /// Name of the model.
    pub model: Name,
    /// Adapter to apply to the model, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Name>,
    /// The whole prompt as one text.
    pub prompt: Name,
    /// Maximum length of the answer in tokens, including those before `from`.
    pub tokens: u32,
    /// Position of the first token to send; above zero to resume.
    #[serde(default)]
    pub from: u32,
    /// Name of the state to resume from, which another engine exported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache: Option<Name>,
}

/// One line of a generation's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Request id.
    pub id: Name,
    /// Position of the token; on the last line the number of tokens.
    pub pos: u32,
    /// Text of the token, empty on the last line.
    #[serde(default)]
    pub text: String,
    /// Why the stream ends, on the last line only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

/// Why a stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// The answer is complete.
    Stop,
    /// It was cancelled.
    Cancelled,
    /// Its state was exported; another engine can resume it.
    Exported,
    /// The engine can never run the request; a retry does not help.
    Invalid,
    /// The engine failed; a retry may succeed.
    Error,
}

/// The generation to cancel or export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Request id.
    pub id: Name,
}

/// Answer to a cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Whether the generation was running.
    pub found: bool,
}

/// Answer to an export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exported {
    /// Name of the exported state of the generation; empty if it was not running.
    pub cache: Name,
    /// Tokens generated so far.
    pub pos: u32,
}

/// Load report of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Generations running.
    pub running: u32,
    /// Generations waiting for admission.
    pub waiting: u32,
    /// Generations that can run concurrently at full speed.
    pub slots: u32,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a jump means lost events.
    pub seq: u64,
    /// Hash of the prompt prefix (see [`prefix_hash`](super::prefix_hash)).
    pub prefix: u64,
    /// `true` if the prefix was stored, `false` if it was evicted.
    pub stored: bool,
}

/// Changes of the prefix cache from a sequence number on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number to ask from next time.
    pub next: u64,
    /// The events, by sequence number.
    pub events: Vec<CacheEvent>,
}

/// A model that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: Name,
    /// Version of the model.
    pub version: Name,
    /// Names of its loaded adapters.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// Models, role and highest fencing token of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Models, sorted by name.
    pub models: Vec<LoadedModel>,
    /// Role, such as `mixed`; only compared.
    pub role: Name,
    /// Highest fencing token seen; zero if the engine does not check tokens.
    pub fence: u64,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load a version of a model with its adapters, replacing any other version.
    Load(LoadedModel),
    /// Unload a model.
    Unload(Name),
    /// Change the engine's role to this name, whose meaning only the engine knows.
    Role(Name),
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the issuer; an engine that checks it refuses one older than it has seen.
    pub fence: u64,
    /// The change to make.
    pub action: Action,
}
