//! The callers' interface to batch jobs.
//!
//! | method and path | answer |
//! |---|---|
//! | `POST /v1/batches` with JSON lines | the job; `?id=` or `Idempotency-Key` names it |
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

/// Most items in a page, and the number when none is asked for.
const PAGE: (usize, usize) = (10_000, 1_000);
/// Most jobs in a list.
const LIST_MAX: usize = 1_000;
/// Lines of a whole answer that are written together.
const LINES: usize = 256;
/// Longest client-given id in bytes.
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
        return Err(Fail::new(
            Kind::Stopping,
            "the host is stopping; use another",
        ));
    }
    let id = given_id(&caller, &exchange.request.head)?;
    let body = &exchange.request.body;
    let order = JobOp::Create(NewJob {
        quota: None,
        id: id.clone(),
        workspace: caller.workspace,
        asks: parse_items(body)?,
        size: body.len(),
    });
    one_job(host, &id, &order)
}

/// How the job `id` stands after `order`.
fn one_job(host: &Host, id: &str, order: &JobOp) -> Res<JobView> {
    let slot = host.batch.streams.slot_of(id);
    let told = ask(host, slot, order)?;
    Ok(JobView::new(&told.job()?))
}

/// The id of the job: from the caller's id, or else a new one.
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
    let span = ListQuery {
        workspace: Some(caller.workspace),
        after: after.into(),
        limit: limit + 1,
    };
    let list = list_all(host, &span)?;
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
    let rest = head.path.trim_start_matches("/v1/batches/");
    let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
    let which = JobRef {
        id: id.into(),
        workspace: Some(caller.workspace.clone()),
    };
    match (head.method.as_str(), action) {
        ("GET", "") => exchange.answer(one_job(host, id, &JobOp::Show(which))),
        ("GET", "results") => results(host, exchange, &caller, which),
        ("POST", "cancel") => exchange.answer(one_job(host, id, &JobOp::Cancel(which))),
        ("DELETE", "") => exchange.answer(one_job(host, id, &JobOp::Delete(which))),
        (_, "" | "results" | "cancel") => {
            let text = format!(
                "method \"{}\" is not allowed on \"{}\"",
                head.method, head.path
            );
            exchange.fail(&Fail::new(Kind::BadMethod, text))
        }
        _ => exchange.fail(&Fail::new(
            Kind::NotFound,
            format!("no path \"{}\"", head.path),
        )),
    }
}

/// Where the items of a job are read from.
enum Source {
    /// The state that this host had when it was asked, and its position.
    Here(Arc<Job>, Pos),
    /// A reader of the job's stream, asked page by page.
    There(JobRef),
}

impl Source {
    fn find(host: &Host, which: JobRef) -> Res<Self> {
        let slot = host.batch.streams.slot_of(&which.id);
        let Some(stream) = host.batch.streams.enter(slot) else {
            return Ok(Self::There(which));
        };
        let (job, at) = serve::find_since(host, &stream, slot.shown(), &which)?;
        slot.show(at);
        Ok(Self::Here(job, at))
    }

    /// Up to `limit` items from index `from` on.
    fn items(&self, host: &Host, from: usize, limit: usize) -> Res<ItemPage> {
        match self {
            Self::Here(job, at) => Ok(serve::items(job, *at, from, limit, usize::MAX)),
            Self::There(which) => {
                let slot = host.batch.streams.slot_of(&which.id);
                let which = which.clone();
                ask(host, slot, &JobOp::Items { which, from, limit })?.items()
            }
        }
    }
}

fn results(
    host: &Arc<Host>,
    exchange: &mut Exchange,
    caller: &Caller,
    which: JobRef,
) -> io::Result<()> {
    let head = &exchange.request.head;
    let is_page = head.param("from").is_some() || head.param("limit").is_some();
    let source = match Source::find(host, which) {
        Ok(source) => source,
        Err(fail) => return exchange.fail(&fail),
    };
    if !is_page {
        return whole(host, exchange, caller, &source);
    }
    let page = number(head, "from", 0).and_then(|from| {
        let limit = number(head, "limit", PAGE.1)?.clamp(1, PAGE.0);
        Ok(Page::new(&source.items(host, from, limit)?, from))
    });
    exchange.answer(page)
}

/// Writes all items as lines.
fn whole(
    host: &Arc<Host>,
    exchange: &mut Exchange,
    caller: &Caller,
    source: &Source,
) -> io::Result<()> {
    let mut run = match source.items(host, 0, LINES) {
        Ok(run) => run,
        Err(fail) => return exchange.fail(&fail),
    };
    let offset = run.at.to_string();
    exchange.begin(
        200,
        &[
            ("content-type", "application/x-ndjson"),
            ("x-log-offset", &offset),
        ],
    )?;
    let mut from = 0;
    loop {
        exchange.write(&text_of(&run, from)?)?;
        from += run.lines.len();
        if run.lines.is_empty() || from >= run.total {
            return exchange.end();
        }
        let next = source.items(host, from, LINES);
        let (Ok(next), true) = (next, auth::is_valid(host, caller)) else {
            exchange.abort();
            return Ok(());
        };
        run = next;
    }
}

/// The items of `run` as lines, the first of which has the index `from`.
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
