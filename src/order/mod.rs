//! Orders to backend servers: load, unload, change role.
//!
//! The host in charge of a server's gate is the only issuer of orders to it. It claims that in the
//! log; the position of the claim is the fencing number of its orders. What a server should have
//! comes from the declarations, what it has is read back from it.

mod issue;
mod pace;
mod roll;
mod seen;
mod step;

pub use issue::LoadedCall;
pub use pace::Pace;
pub use roll::before;
pub use seen::Orders;
pub use step::{Placement, Step, Track};

use crate::kernel::{On, Plugin, Port, Route, Task};
use std::time::Duration;

/// Time between two looks at the servers. Servers are read back less often.
const EVERY: Duration = Duration::from_millis(100);

inventory::submit! {
    Plugin {
        name: "order",
        routes: &[Route {
            port: Port::Peer,
            method: "POST",
            path: "/peer/order/loaded",
            handle: issue::serve_loaded,
        }],
        // Servers of an outside system are not this product's to give orders to.
        tasks: &[Task { name: "orders", every: EVERY, run: issue::run, waits: true, on: On::Own }],
        stop: |_| {},
    }
}
