//! Orders to backend servers: load, unload, change role.
//!
//! Only the host that runs a server's gate issues orders to it. That host claims the server in the
//! log, and the position of the claim is the fencing token of its orders. The desired state of a
//! server comes from the declarations; the actual state is read back from the server.

mod issue;
mod pace;
mod read_back;
mod rollout;
mod step;

pub use issue::LoadedCall;
pub use pace::LoadPacer;
pub use read_back::Orders;
pub use rollout::predecessor;
pub use step::{Placement, Step, Track};

use crate::kernel::{On, Plugin, Port, Route, Task};
use std::time::Duration;

/// Time between two rounds over the servers. Settled servers are read back less often.
const INTERVAL: Duration = Duration::from_millis(100);

inventory::submit! {
    Plugin {
        name: "order",
        routes: &[Route {
            port: Port::Peer,
            method: "POST",
            path: "/peer/order/loaded",
            handle: issue::serve_loaded,
        }],
        // Servers of an outside system take no orders from this product.
        tasks: &[Task { name: "orders", every: INTERVAL, run: issue::run, waits: true, on: On::Own }],
        stop: |_| {},
    }
}
