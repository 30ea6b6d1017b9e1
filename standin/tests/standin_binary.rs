//! Each stand-in runs as a process and takes commands.

use gooseberrytack::http::{Client, Timeouts};
use serde_json::json;
use standin::{Process, wait_for};
use std::{net::SocketAddr, path::Path, time::Duration};

fn start(kind: &str) -> (Process, SocketAddr) {
    let bin = Path::new(env!("CARGO_BIN_EXE_standin"));
    Process::standin(bin, kind, &json!({}))
}

fn ask(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let url = format!("http://{addr}{path}");
    let limits = Timeouts::within(Duration::from_secs(60));
    let reply = Client::new().call(method, &url, &[], body.as_bytes(), limits);
    reply.ok().map(|r| r.status)
}

#[test]
fn process_takes_orders() {
    let reads = [
        ("log", "/read?stream=jobs&from=0"),
        ("list", "/hosts"),
        ("engine", "/v1/load"),
        ("service", "/"),
    ];
    for (kind, path) in reads {
        let (_process, addr) = start(kind);
        assert_eq!(ask(addr, "GET", path, ""), Some(200), "{kind}");
        let order = |text| ask(addr, "POST", "/standin/order", text);
        assert_eq!(order("{\"faults\":{\"refuse\":true}}"), Some(200));
        assert_eq!(ask(addr, "GET", path, ""), Some(503), "{kind}");
        assert_eq!(order("{\"faults\":{}}"), Some(200));
        assert_eq!(ask(addr, "GET", path, ""), Some(200), "{kind}");
        order("\"die\"");
        wait_for("the process to die", || {
            ask(addr, "GET", path, "").is_none()
        });
    }
}
