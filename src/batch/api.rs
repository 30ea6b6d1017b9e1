//! HTTP interface for callers of batch jobs.
//!
//! | method and path | answer |
//! |---|---|
//! | `POST /v1/batches` with JSON lines | the job, named by `?id=` or `Idempotency-Key` |
//! | `GET /v1/batches?after=ID&limit=N` | the workspace's jobs |
//! | `GET /v1/batches/ID` | the job |
//! | `GET /v1/batches/ID/results` | all items as JSON lines |
//! | `GET /v1/batches/ID/results?from=N&limit=M` | a page of items |
//! | `POST /v1/batches/ID/cancel` | the job after its cancel |
//! | `DELETE /v1/batches/ID` | the job as it stood before its delete |

use super::{
    accept::job_id,
    forward::{ask, list_all},
    message::{ItemPage, JobOp, JobRef, ListQuery, NewJob},
    parse_items,
    results::{JobList, JobView, Page, ResultLine},
    serve,
};
use crate::{
    entry::auth::{self, Caller},
    error::{Fail, Kind, Res},
    fold::Pos,
    http::{Exchange, Head},
    job::Job,
    kernel::{Host, Port, Route},
    wire::Name,
};
use std::{io, sync::Arc};

/// Most items in a page.
const PAGE_MAX: usize = 10_000;
/// Items in a page when the caller names no number.
const PAGE_DEFAULT: usize = 1_000;
/// Most jobs in a list.
const LIST_MAX: usize = 1_000;
/// Most lines that are written together when all items are read.
const LINES_EACH: usize = 256;
/// Longest id or key of a job that a caller may give, in bytes, including its prefix.
const ID_MAX: usize = 256;

pub(super) const ROUTES: &[Route] = &[
    Route {
        port: Port::Caller,
        method: "POST",
        path: "/v1/batches",
        handle: create,
    },
    Route {
        port: Port::Caller,
        method: "GET",
        path: "/v1/batches",
        handle: list,
    },
    Route {
        port: Port::Caller,
        method: "*",
        path: "/v1/batches/*",
        handle: one,
    },
    Route {
        port: Port::Peer,
        method: "POST",
        path: "/peer/jobs",
        handle: serve::serve,
    },
];

fn create(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let result = try_create(host, exchange);
    exchange.answer(result)
}

fn try_create(host: &Arc<Host>, exchange: &Exchange) -> Res<JobView> {
    let caller = auth::admit(host, &exchange.request)?;
    auth::spend(host, &caller)?;
    if host.is_stopping() {
        let text = "the host is stopping; use another";
        return Err(Fail::new(Kind::Stopping, text));
    }
    let id = given_id(&caller, &exchange.request.head)?;
    let body = &exchange.request.body;
    let op = JobOp::Create(NewJob {
        quota: None,
        id: id.clone(),
        workspace: caller.workspace,
        specs: parse_items(body)?,
        size: body.len(),
    });
    one_job(host, &id, &op)
}

/// The job `id` after `op`.
fn one_job(host: &Host, id: &str, op: &JobOp) -> Res<JobView> {
    let slot = host.batch.streams.slot_of(id);
    let reply = ask(host, slot, op)?;
    Ok(JobView::new(&reply.job()?))
}

/// Id of the new job: derived from the id or idempotency key that the caller gave, or random.
fn given_id(caller: &Caller, head: &Head) -> Res<Name> {
    let id = head.param("id").filter(|id| !id.is_empty());
    let key = head.field("idempotency-key").filter(|k| !k.is_empty());
    let given = match (id, key) {
        (Some(id), _) => format!("id:{id}"),
        (None, Some(key)) => format!("key:{key}"),
        (None, None) => format!("new:{:032x}", rand::random::<u128>()),
    };
    if given.len() > ID_MAX {
        let text = format!("has more than {ID_MAX} bytes");
        return Err(Fail::field("id", text));
    }
    Ok(job_id(&caller.workspace, &given))
}

fn list(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let result = try_list(host, exchange);
    exchange.answer(result)
}

fn try_list(host: &Arc<Host>, exchange: &Exchange) -> Res<JobList> {
    let caller = auth::admit(host, &exchange.request)?;
    let head = &exchange.request.head;
    let after = head.param("after").unwrap_or_default();
    let limit = number(head, "limit", 100)?.min(LIST_MAX);
    let query = ListQuery {
        workspace: Some(caller.workspace),
        after: after.into(),
        limit: limit + 1,
    };
    let list = list_all(host, &query)?;
    let mut data: Vec<_> = list.iter().map(JobView::new).collect();
    let has_more = data.len() > limit;
    data.truncate(limit);
    Ok(JobList {
        object: "list",
        data,
        has_more,
    })
}

fn one(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let caller = match auth::admit(host, &exchange.request) {
        Ok(caller) => caller,
        Err(fail) => return exchange.fail(&fail),
    };
    let head = exchange.request.head.clone();
    let (method, path) = (head.method.as_str(), head.path.as_str());
    let rest = path.trim_start_matches("/v1/batches/");
    let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
    let job = JobRef {
        id: id.into(),
        workspace: Some(caller.workspace.clone()),
    };
    match (method, action) {
        ("GET", "") => exchange.answer(one_job(host, id, &JobOp::Show(job))),
        ("GET", "results") => results(host, exchange, &caller, job),
        ("POST", "cancel") => exchange.answer(one_job(host, id, &JobOp::Cancel(job))),
        ("DELETE", "") => exchange.answer(one_job(host, id, &JobOp::Delete(job))),
        (_, "" | "results" | "cancel") => {
            let text = format!("method \"{method}\" is not allowed on \"{path}\"");
            exchange.fail(&Fail::new(Kind::BadMethod, text))
        }
        _ => exchange.fail(&Fail::new(Kind::NotFound, format!("no path \"{path}\""))),
    }
}

/// Source of the items of a job.
enum Source {
    /// The job in the state of this host, and the position of that state.
    Here(Arc<Job>, Pos),
    /// Readers of the job's stream, asked page by page.
    There(JobRef),
}

impl Source {
    fn find(host: &Host, job: JobRef) -> Res<Self> {
        let slot = host.batch.streams.slot_of(&job.id);
        let Some(stream) = host.batch.streams.enter(slot) else {
            return Ok(Self::There(job));
        };
        serve::reach(&stream, slot.answered())?;
        let (job, at) = serve::find(host, &stream, &job)?;
        slot.note_answered(at);
        Ok(Self::Here(job, at))
    }

    /// Up to `limit` items from index `from` on.
    fn items(&self, host: &Host, from: usize, limit: usize) -> Res<ItemPage> {
        match self {
            Self::Here(job, at) => Ok(serve::items(job, *at, from, limit, usize::MAX)),
            Self::There(job) => {
                let slot = host.batch.streams.slot_of(&job.id);
                let which = job.clone();
                let op = JobOp::Items { which, from, limit };
                ask(host, slot, &op)?.items()
            }
        }
    }
}

fn results(host: &Host, exchange: &mut Exchange, caller: &Caller, job: JobRef) -> io::Result<()> {
    let head = &exchange.request.head;
    let is_page = head.param("from").is_some() || head.param("limit").is_some();
    let source = match Source::find(host, job) {
        Ok(source) => source,
        Err(fail) => return exchange.fail(&fail),
    };
    if !is_page {
        return whole(host, exchange, caller, &source);
    }
    let page = number(head, "from", 0).and_then(|from| {
        let limit = number(head, "limit", PAGE_DEFAULT)?.clamp(1, PAGE_MAX);
        Ok(Page::new(&source.items(host, from, limit)?, from))
    });
    exchange.answer(page)
}

/// Writes all items as JSON lines; cuts the answer if a page fails or the key is withdrawn.
fn whole(host: &Host, exchange: &mut Exchange, caller: &Caller, source: &Source) -> io::Result<()> {
    let mut run = match source.items(host, 0, LINES_EACH) {
        Ok(run) => run,
        Err(fail) => return exchange.fail(&fail),
    };
    let offset = run.at.to_string();
    let fields = [
        ("content-type", "application/x-ndjson"),
        ("x-log-offset", &*offset),
    ];
    exchange.begin(200, &fields)?;
    let mut from = 0;
    loop {
        exchange.write(&text_of(&run, from)?)?;
        from += run.lines.len();
        if run.lines.is_empty() || from >= run.total {
            return exchange.end();
        }
        let next = source.items(host, from, LINES_EACH);
        let (Ok(next), true) = (next, auth::is_valid(host, caller)) else {
            exchange.abort();
            return Ok(());
        };
        run = next;
    }
}

/// The items of `run`, which begin at index `from` of the job, as JSON lines.
fn text_of(run: &ItemPage, from: usize) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    for (i, line) in run.lines.iter().enumerate() {
        let line = ResultLine::new(from + i, line);
        serde_json::to_writer(&mut text, &line).map_err(io::Error::other)?;
        text.push(b'\n');
    }
    Ok(text)
}

fn number(head: &Head, name: &str, default: usize) -> Res<usize> {
    let Some(text) = head.param(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| Fail::field(name, format!("\"{text}\" is not a whole number")))
}
