//! Dispatches items to backend servers.

use super::{Task, Verdict, judge, judge_passed, ownership, stream::Stream};
use crate::{
    config::pass_route,
    error::{Fail, Kind, Res},
    fold::AppendOutcome,
    job::{Outcome, Record},
    kernel::Host,
    route::{self, Sink},
    timeline::Happening,
    wire::{Answer, Class, Name, Software, Work},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Longest time for one try of an item, including its wait for a server slot.
const TRY_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest wait for the append of an announcement, and then for its reading.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before an item whose announcement failed is dispatched again.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(200);

/// Pause before an item is tried again at a host that is behind the configuration.
const CONFIG_PAUSE: Duration = Duration::from_millis(250);

/// Stops the work on an item when the host gives up its part, or preempts the item.
struct ItemSink<'a> {
    host: &'a Host,
    stream: &'a Stream,
    task: &'a Task,
    /// Set for repeatable items only.
    is_yielding: Option<&'a AtomicBool>,
}

impl Sink for ItemSink<'_> {
    fn token(&mut self, _pos: u32, _text: &str) -> Res<()> {
        self.host.served.batch_token();
        self.check()
    }

    fn slot(&mut self, held: bool) {
        self.stream.scheduler().slot(self.task, held);
    }

    fn check(&mut self) -> Res<()> {
        if self.task.stop.load(Ordering::Relaxed) {
            let text = "the item was cancelled or moved to another host";
            return Err(Fail::new(Kind::Cancelled, text));
        }
        if self.is_yielding.is_some_and(|y| y.load(Ordering::Relaxed)) {
            return Err(Fail::new(Kind::Preempted, "the host hands its parts over"));
        }
        Ok(())
    }
}

/// Starts a worker thread for each item that is due, up to the setting `parallel`.
pub(super) fn start_workers(host: &Arc<Host>) {
    while host.batch.workers.load(Ordering::Relaxed) < host.settings.parallel {
        let Some(first) = next_task(host) else {
            return;
        };
        host.batch.workers.fetch_add(1, Ordering::Relaxed);
        let worker = host.clone();
        let started = thread::Builder::new()
            .name("batch_item".into())
            .spawn(move || {
                let mut next = Some(first);
                while let Some((stream, task)) = next {
                    run(&worker, &stream, &task);
                    next = next_task(&worker);
                }
                worker.batch.workers.fetch_sub(1, Ordering::Relaxed);
            });
        if started.is_err() {
            host.batch.workers.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// The next item by rank, over all streams; none until the configuration was read.
fn next_task(host: &Arc<Host>) -> Option<(Arc<Stream>, Task)> {
    let config = &host.config;
    if host.is_dead() || config.progress().caught_up.is_none() {
        return None;
    }
    let weight = |name: &str| config.view(|c| c.workspace(name).map_or(1, |w| w.weight.max(1)));
    let span = ownership::lease_span(host);
    let now = host.now();
    let mut streams = host.batch.streams.followed();
    if streams.len() > 1 {
        let due = streams.into_iter().filter_map(|s| {
            let rank = s.scheduler().rank(now, span, weight)?;
            Some((rank, s))
        });
        let least = due.min_by_key(|(rank, _)| *rank)?;
        streams = vec![least.1];
    }
    let stream = streams.pop()?;
    let task = stream.scheduler().next(now, span, weight)?;
    Some((stream, task))
}

fn run(host: &Arc<Host>, stream: &Stream, task: &Task) {
    let verdict = if task.spec.repeatable {
        attempt(host, stream, task)
    } else {
        match announce(host, stream, task) {
            Ok(()) => attempt(host, stream, task),
            Err(verdict) => verdict,
        }
    };
    if matches!(verdict, Verdict::End(Outcome::Failed { .. })) {
        host.timeline
            .note(Happening::Failed, &item_id(task), None, "");
    }
    stream.scheduler().settle(task, verdict, host.now());
}

/// Commits the intent to run an item that may not be repeated; else tells to try again.
fn announce(host: &Host, stream: &Stream, task: &Task) -> Result<(), Verdict> {
    let again = Verdict::Retry {
        pause: ANNOUNCE_PAUSE,
        is_charged: false,
    };
    let is_announced = || {
        stream.jobs.view(|s| {
            let part = s.held(&host.me.name, &task.at);
            part.is_some_and(|p| p.has_intent(task.index))
        })
    };
    if is_announced() {
        return Ok(());
    }
    let rec = Record::Intents {
        host: host.me.name.clone(),
        part: task.at.clone(),
        items: vec![task.index],
    };
    match stream.jobs.submit(&rec).wait(ANNOUNCE_TIMEOUT) {
        AppendOutcome::Taken(at) => stream.jobs.catch_up_to(at, ANNOUNCE_TIMEOUT),
        AppendOutcome::NotTaken | AppendOutcome::Unknown => return Err(again),
    };
    if is_announced() { Ok(()) } else { Err(again) }
}

fn attempt(host: &Arc<Host>, stream: &Stream, task: &Task) -> Verdict {
    let model = match target_of(host, task) {
        Ok(model) => model,
        Err(fail) => return judge(Err(absent(host, task, fail)), task.tries, false),
    };
    let work = Work {
        id: format!("{}.{}.{}", item_id(task), task.at.epoch, task.attempt).into(),
        workspace: task.workspace.clone(),
        model,
        adapter: task.spec.adapter.clone(),
        prompt: task.spec.prompt.clone(),
        tokens: task.spec.tokens,
        class: Class::Batch,
        repeatable: task.spec.repeatable,
        deadline: host.now() + TRY_TIMEOUT,
        slot_deadline: host.now() + TRY_TIMEOUT,
        since: task.accepted,
        request: task.spec.request.clone(),
        software: Software::Any,
    };
    let mut sink = ItemSink {
        host,
        stream,
        task,
        is_yielding: task.spec.repeatable.then_some(&stream.is_yielding),
    };
    let result = dispatch(host, stream, task, &work, &mut sink);
    match &task.spec.request {
        Some(request) => judge_passed(result, task.tries, request.attempts),
        None => judge(result, task.tries, task.spec.repeatable),
    }
}

/// What servers for the item must offer: its model, or the present target of its route.
///
/// # Errors
/// `NotReady` if the configuration may be older than the job, or `NotFound`.
fn target_of(host: &Host, task: &Task) -> Res<Name> {
    let Some(request) = &task.spec.request else {
        return Ok(task.spec.model.clone());
    };
    if let Err(fail) = host.check_current(task.since) {
        let (item, revision) = (item_id(task), host.config.view(|s| s.revision));
        tracing::info!(item, revision, "item_waits_for_configuration");
        return Err(fail.retry_after(CONFIG_PAUSE));
    }
    let path = request.target.split('?').next().unwrap_or("");
    let route = host
        .config
        .view(|c| pass_route(c, &request.host, path).cloned());
    match route {
        Some(route) => Ok(route.target(&request.id)),
        None => {
            let text = format!("no route leads to \"{}{path}\" any more", request.host);
            Err(Fail::new(Kind::NotFound, text))
        }
    }
}

/// The error for what the configuration lacks for an item. The configuration in force when the job was accepted may be
/// newer than this host's; the item then waits.
fn absent(host: &Host, task: &Task, fail: Fail) -> Fail {
    let fail = host.absent_since(task.since, fail);
    match fail.kind {
        Kind::NotReady => fail.retry_after(CONFIG_PAUSE),
        _ => fail,
    }
}

/// Checks that the model of the work is declared and allows its number of tokens.
fn check_model(host: &Host, work: &Work) -> Res<()> {
    let most = host.config.view(|c| c.model(&work.model).map(|m| m.tokens));
    match most {
        None => {
            let text = format!("the model \"{}\" is not declared", work.model);
            Err(Fail::new(Kind::UnknownModel, text))
        }
        Some(most) if work.tokens > most => {
            let text = format!("{} is above the model's limit of {most}", work.tokens);
            Err(Fail::field("max_tokens", text))
        }
        Some(_) => Ok(()),
    }
}

fn dispatch(
    host: &Arc<Host>,
    stream: &Stream,
    task: &Task,
    work: &Work,
    sink: &mut ItemSink<'_>,
) -> Res<Answer> {
    check_model(host, work).map_err(|fail| absent(host, task, fail))?;
    let span = ownership::lease_span(host);
    let is_held = stream.scheduler().lease.is_held(host.now(), span);
    if task.stop.load(Ordering::Relaxed) || !is_held {
        let text = "the lease on the part has lapsed or the part was given up";
        return Err(Fail::new(Kind::Overloaded, text));
    }
    route::dispatch(host, work, sink)
}

/// `JOB/PART.INDEX`, with the index counted within the part.
fn item_id(task: &Task) -> String {
    format!("{}/{}.{}", task.at.job, task.at.part, task.index)
}
