//! Commands that report on all hosts: revisions, status, timeline, jobs.

use super::{
    CliError, Exit,
    args::{Jobs, Status, Timeline, Wait},
    client::{Hosts, with_query},
    output::print,
};
use crate::control::{HostAnswer, MergedEvents};
use serde_json::Value;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Pause between two queries of the hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

pub fn wait(hosts: &Hosts, json: bool, args: &Wait) -> Result<Exit, CliError> {
    let end = Instant::now() + Duration::from_secs(args.seconds);
    loop {
        let found: Vec<HostAnswer> = hosts.request("GET", "/control/revisions", &[])?;
        let behind: Vec<&HostAnswer> = found
            .iter()
            .filter(|h| h.report.as_ref().is_none_or(|r| r.revision < args.revision))
            .collect();
        if behind.is_empty() {
            print(json, &found, |a| println!("in force on {} hosts", a.len()));
            return Ok(Exit::Done);
        }
        if Instant::now() >= end {
            print(json, &behind, |b| b.iter().for_each(|h| print_host(h)));
            let text = format!(
                "{} of {} hosts do not report revision {}",
                behind.len(),
                found.len(),
                args.revision
            );
            return Err(CliError::new(Exit::NotEverywhere, text));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

pub fn status(hosts: &Hosts, json: bool, _: &Status) -> Result<Exit, CliError> {
    let found: Vec<HostAnswer> = hosts.request("GET", "/control/revisions", &[])?;
    print(json, &found, |h| h.iter().for_each(print_host));
    Ok(Exit::Done)
}

fn print_host(answer: &HostAnswer) {
    match &answer.report {
        Some(r) => println!(
            "host={} revision={} next={} ready={} stopping={} log={}",
            r.host,
            r.revision,
            r.next,
            r.ready,
            r.stopping,
            if r.down { "down" } else { "up" }
        ),
        None => println!(
            "host={} error={:?}",
            answer.host,
            answer.error.as_deref().unwrap_or_default()
        ),
    }
}

pub fn timeline(hosts: &Hosts, json: bool, args: &Timeline) -> Result<Exit, CliError> {
    let most = args.most.to_string();
    let params = [("id", Some(args.id.as_str())), ("most", Some(&most))];
    let path = with_query("/control/timeline", &params);
    let merged: MergedEvents = hosts.request("GET", &path, &[])?;
    print(json, &merged, |m| {
        for e in &m.events {
            let at = e.at.map(|at| format!(" at={at}")).unwrap_or_default();
            println!(
                "seq={} host={} event={:?} id={}{at} note={:?}",
                e.seq, e.host, e.what, e.id, &*e.note
            );
        }
        for host in &m.silent {
            println!("host={host} error=\"did not answer\"");
        }
    });
    Ok(Exit::Done)
}

pub fn jobs(hosts: &Hosts, json: bool, args: &Jobs) -> Result<Exit, CliError> {
    let path = match &args.id {
        Some(id) => format!("/control/jobs/{id}"),
        None => "/control/jobs".into(),
    };
    let method = if args.cancel { "DELETE" } else { "GET" };
    if args.cancel && args.id.is_none() {
        return Err(CliError::new(
            Exit::Usage,
            "give the id of the job to cancel",
        ));
    }
    let found: Value = hosts.request(method, &path, &[])?;
    print(json, &found, |f| match f.as_array() {
        Some(all) => all.iter().for_each(|j| println!("{j}")),
        None => println!("{f}"),
    });
    Ok(Exit::Done)
}
