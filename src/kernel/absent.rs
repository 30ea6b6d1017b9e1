//! Tells an object that is gone from one that this host has not read yet.

use super::Host;
use crate::{
    clock::Time,
    error::{Fail, Kind, Res},
};
use std::time::Duration;

/// Age up to which the configuration counts as current. A host that reads the configuration is within it; one that is
/// behind is not.
const CURRENT_AGE: Duration = Duration::from_secs(2);

impl Host {
    /// The error for a request that names an object which the configuration lacks: `fail`, or `NotReady`
    /// if this host is behind, so that the caller does not take `fail` as final.
    pub fn absent(&self, fail: Fail) -> Fail {
        self.absent_since(self.now().saturating_sub(CURRENT_AGE), fail)
    }

    /// Checks that the configuration was current at `since` or later.
    ///
    /// # Errors
    /// `NotReady` if this host was behind at that time and still is.
    pub fn check_current(&self, since: Time) -> Res<()> {
        let fresh = self.config.progress().caught_up;
        if fresh.is_some_and(|f| f + CURRENT_AGE >= since) {
            return Ok(());
        }
        let text = "this host is behind the configuration";
        Err(Fail::new(Kind::NotReady, text))
    }

    /// The error for an object that existed by `since` and that the configuration lacks: `fail` if the
    /// configuration was read at its source at `since` or later, otherwise `NotReady`.
    pub fn absent_since(&self, since: Time, fail: Fail) -> Fail {
        let fresh = self.config.progress().caught_up;
        if fresh.is_some_and(|f| f >= since) {
            return fail;
        }
        let age_ms = fresh.map(|f| self.now().saturating_sub(f).as_millis() as u64);
        let revision = self.config.view(|s| s.revision);
        let (code, cause) = (fail.kind.row().code, &*fail.text);
        tracing::info!(code, cause, revision, age_ms, "object_not_known_yet");
        let text = format!("{cause}, but this host is behind the configuration; use another host");
        Fail::new(Kind::NotReady, text)
    }
}
