//! The operators' HTTP interface, in JSON. Each request on the operators' port must carry the
//! operators' token, if the settings name one; the `/peer` routes are on another port.
//!
//! | method and path | result |
//! |---|---|
//! | `GET /control/state` | every declared object with its revision |
//! | `GET /control/SORT`, `GET /control/SORT/NAME` | objects of a sort, one object |
//! | `PUT /control/SORT/NAME` | creates or changes an object |
//! | `DELETE /control/SORT/NAME` | withdraws an object |
//! | `POST /control/keys` | issues a key; shown once |
//! | `POST /control/changes`, `GET /control/changes/ID` | changes several objects; outcome of a change |
//! | `GET /control/jobs`, `GET` and `DELETE /control/jobs/ID` | batch jobs; one with its open parts; cancels it |
//! | `GET /control/status`, `GET /control/revisions`, `GET /control/timeline` | status of this host; of it and the live hosts, each with its revision in force or why it did not answer; merged events |
//!
//! `SORT` is one of workspaces, keys, models, servers, routes, defaults, exceptions.

mod access;
mod changes;
mod fleet;
mod jobs;
mod keys;
mod objects;
mod request;

pub use access::admit;
pub use fleet::{EventsCall, HostAnswer, MergedEvents, Report, ReportCall, reports, timeline};
pub use objects::{Listing, ObjectView, Value};
pub use request::{Applied, ChangeParams};

use crate::kernel::{Handler, Plugin, Port, Route};

const fn operators(method: &'static str, path: &'static str, handle: Handler) -> Route {
    Route {
        port: Port::Control,
        method,
        path,
        handle,
    }
}

inventory::submit! {
    Plugin {
        name: "control",
        routes: &[
            operators("GET", "/control/state", objects::state),
            operators("POST", "/control/keys", keys::issue),
            operators("GET", "/control/workspaces", objects::list),
            operators("GET", "/control/keys", objects::list),
            operators("GET", "/control/models", objects::list),
            operators("GET", "/control/servers", objects::list),
            operators("GET", "/control/routes", objects::list),
            operators("GET", "/control/defaults", objects::list),
            operators("GET", "/control/exceptions", objects::list),
            operators("*", "/control/workspaces/*", objects::one),
            operators("*", "/control/keys/*", objects::one),
            operators("*", "/control/models/*", objects::one),
            operators("*", "/control/servers/*", objects::one),
            operators("*", "/control/routes/*", objects::one),
            operators("*", "/control/defaults/*", objects::one),
            operators("*", "/control/exceptions/*", objects::one),
            operators("POST", "/control/changes", changes::submit),
            operators("GET", "/control/changes/*", changes::show),
            operators("GET", "/control/jobs", jobs::list),
            operators("*", "/control/jobs/*", jobs::one),
            operators("GET", "/control/status", fleet::status),
            operators("GET", "/control/revisions", fleet::revisions),
            operators("GET", "/control/timeline", fleet::events),
            Route { port: Port::Peer, method: "POST", path: "/peer/report", handle: fleet::serve_report },
            Route { port: Port::Peer, method: "POST", path: "/peer/events", handle: fleet::serve_events },
        ],
        tasks: &[],
        stop: |_| {},
    }
}
