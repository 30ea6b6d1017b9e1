//! Refuses requests for which a planned stop leaves too little time.

use super::Host;
use crate::error::{Fail, Kind, Res};
use std::time::Duration;

/// Time before the end of a planned stop at which a request without an answer is refused. Checks of a
/// waiting request are up to 300 ms apart.
pub const STOP_MARGIN: Duration = Duration::from_millis(400);

impl Host {
    /// Checks that an answer which may take `limit` ends before a planned stop does.
    ///
    /// # Errors
    /// `Stopping` if it may not; another host has the time.
    pub fn check_time_left(&self, limit: Duration) -> Res<()> {
        if !self.ends_within(limit + STOP_MARGIN) {
            return Ok(());
        }
        let text = "this host stops before the request's deadline; use another host";
        Err(Fail::new(Kind::Stopping, text))
    }
}
