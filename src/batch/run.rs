//! Dispatches items to backend servers.

use super::{Task, Verdict, judge, judge_passed, keep, stream::Stream};
use crate::{
    config::pass_route,
    error::{Fail, Kind, Res},
    fold::AppendOutcome,
    job::{Outcome, Record},
    kernel::Host,
    route::{self, Sink},
    timeline::Happening,
    wire::{Answer, Class, Name, Work},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Longest time for one try of an item, its wait for spare capacity included.
const TRY_LIMIT: Duration = Duration::from_secs(120);
/// Longest wait for the announcement of an item.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(5);
/// Pause before an item whose announcement failed is looked at again.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(200);

/// Stops the work of an item that nobody wants any more.
struct ItemSink<'a> {
    host: &'a Host,
    stream: &'a Stream,
    task: &'a Task,
    yielding: Option<&'a AtomicBool>,
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
            return Err(Fail::new(
                Kind::Cancelled,
                "the item was cancelled or passed on",
            ));
        }
        if self.yielding.is_some_and(|y| y.load(Ordering::Relaxed)) {
            return Err(Fail::new(Kind::Preempted, "the host is stopping"));
        }
        Ok(())
    }
}

/// Starts workers for the items that are due.
pub(super) fn pump(host: &Arc<Host>) {
    while host.batch.workers.load(Ordering::Relaxed) < host.settings.parallel {
        let Some(first) = take(host) else {
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
                    next = take(&worker);
                }
                worker.batch.workers.fetch_sub(1, Ordering::Relaxed);
            });
        if started.is_err() {
            host.batch.workers.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// The next item of the workspace with the least under way, over all streams.
fn take(host: &Arc<Host>) -> Option<(Arc<Stream>, Task)> {
    if host.is_dead() || host.config.progress().caught_up.is_none() {
        return None;
    }
    let weight = |name: &str| {
        host.config
            .view(|c| c.workspace(name).map_or(1, |w| w.weight.max(1)))
    };
    let span = keep::lease_span(host);
    let now = host.now();
    let mut streams = host.batch.streams.followed();
    if streams.len() > 1 {
        let due = streams.into_iter().filter_map(|s| {
            let first = s.scheduler().first(now, span, weight)?;
            Some((first, s))
        });
        let least = due.min_by_key(|(first, _)| *first)?;
        streams = vec![least.1];
    }
    let stream = streams.pop()?;
    let task = stream.scheduler().next(now, span, weight)?;
    Some((stream, task))
}

fn run(host: &Arc<Host>, stream: &Stream, task: &Task) {
    let verdict = if task.ask.repeatable {
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

/// Commits the announcement of an item that may not be repeated.
fn announce(host: &Host, stream: &Stream, task: &Task) -> Result<(), Verdict> {
    let again = Verdict::Again {
        pause: ANNOUNCE_PAUSE,
        charged: false,
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
    match stream.jobs.submit(&rec).wait(ANNOUNCE_LIMIT) {
        AppendOutcome::Taken(at) => stream.jobs.catch_up_to(at, ANNOUNCE_LIMIT),
        AppendOutcome::NotTaken | AppendOutcome::Unknown => return Err(again),
    };
    if is_announced() { Ok(()) } else { Err(again) }
}

fn attempt(host: &Arc<Host>, stream: &Stream, task: &Task) -> Verdict {
    let model = match model(host, task) {
        Ok(model) => model,
        Err(fail) => return judge(Err(fail), task.tries, false),
    };
    let work = Work {
        id: format!("{}.{}.{}", item_id(task), task.at.epoch, task.attempt).into(),
        workspace: task.workspace.clone(),
        model,
        adapter: task.ask.adapter.clone(),
        prompt: task.ask.prompt.clone(),
        tokens: task.ask.tokens,
        class: Class::Batch,
        repeatable: task.ask.repeatable,
        deadline: host.now() + TRY_LIMIT,
        slot_deadline: host.now() + TRY_LIMIT,
        since: task.accepted,
        request: task.ask.request.clone(),
    };
    let mut sink = ItemSink {
        host,
        stream,
        task,
        yielding: task.ask.repeatable.then_some(&stream.yielding),
    };
    let result = dispatch(host, stream, task, &work, &mut sink);
    match &task.ask.request {
        Some(request) => judge_passed(result, task.tries, request.attempts),
        None => judge(result, task.tries, task.ask.repeatable),
    }
}

/// What servers for the item must have: its model, or the service that its route leads to now.
fn model(host: &Host, task: &Task) -> Res<Name> {
    let Some(request) = &task.ask.request else {
        return Ok(task.ask.model.clone());
    };
    let path = request.target.split('?').next().unwrap_or("");
    let route = host
        .config
        .view(|c| pass_route(c, &request.host, path).cloned());
    match route {
        Some(route) => Ok(route.target(&request.id)),
        None => Err(Fail::new(
            Kind::NotFound,
            "the route of the item was removed",
        )),
    }
}

/// Whether the model can run the work at all, by its declaration.
fn check(host: &Host, work: &Work) -> Res<()> {
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
    check(host, work)?;
    let span = keep::lease_span(host);
    let is_held = stream.scheduler().lease.is_held(host.now(), span);
    if task.stop.load(Ordering::Relaxed) || !is_held {
        return Err(Fail::new(
            Kind::Overloaded,
            "the lease must be renewed first",
        ));
    }
    route::dispatch(host, work, sink)
}

/// `job/index`, with the index counted over the whole job's parts.
fn item_id(task: &Task) -> String {
    format!("{}/{}.{}", task.at.job, task.at.part, task.index)
}
