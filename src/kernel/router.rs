//! Maps a request's method and path to its handler.

use super::{Handler, Plugin, Port, Route};
use crate::error::{Fail, Kind};

/// All routes of one port.
#[derive(Debug)]
pub struct Router {
    /// Routes that match one path, sorted by path and method.
    exact: Vec<Route>,
    /// Routes that match everything below a path, longest first.
    below: Vec<Route>,
}

impl Router {
    /// The routes that all plug-ins registered for `port`.
    pub fn new(port: Port) -> Self {
        let all = inventory::iter::<Plugin>()
            .flat_map(|p| p.routes)
            .filter(|r| r.port == port);
        let (mut below, mut exact): (Vec<Route>, Vec<Route>) =
            all.copied().partition(|r| r.path.ends_with("/*"));
        exact.sort_by_key(|r| (r.path, r.method));
        below.sort_by_key(|r| std::cmp::Reverse(r.path.len()));
        Self { exact, below }
    }

    /// The handler for `method` and `path`.
    ///
    /// # Errors
    /// `NotFound` for an unknown path, `BadMethod` for a known one with another method.
    pub fn find(&self, method: &str, path: &str) -> Result<Handler, Fail> {
        let start = self.exact.partition_point(|r| r.path < path);
        let same = self.exact[start..].iter().take_while(|r| r.path == path);
        let below = self
            .below
            .iter()
            .filter(|r| path.starts_with(&r.path[..r.path.len() - 1]));
        let mut known = false;
        for route in same.chain(below) {
            // The catch-all route gets only paths that no other route matches.
            if known && route.path == "/*" {
                break;
            }
            let answers = route.method == "*" || route.method == method;
            if answers || (method == "HEAD" && route.method == "GET") {
                return Ok(route.handle);
            }
            known = true;
        }
        if known {
            let text = format!("method \"{method}\" is not allowed on \"{path}\"");
            return Err(Fail::new(Kind::BadMethod, text));
        }
        Err(Fail::new(Kind::NotFound, format!("no path \"{path}\"")))
    }
}
