//! Requests for a slot, as the tests of queues make them.

use gooseberrytack::{gate::SlotRequest, wire::Class};

/// A request by workspace `w` that costs 10 tokens.
pub fn ask(id: &str, class: Class) -> SlotRequest {
    SlotRequest {
        id: id.into(),
        holder: "h".into(),
        workspace: "w".into(),
        class,
        model: "m".into(),
        adapter: None,
        cost: 10,
        since: 0,
    }
}
