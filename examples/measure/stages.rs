//! Breaks the time to first token into stages, from the events of all hosts.
//!
//! A request is identified by its prompt, which callers know and engines record with the id of the
//! attempt.

use gooseberrytack::wire::Name;
use standin::Engine;
use std::{
    fmt,
    sync::Mutex,
    time::{Duration, Instant},
};
use tracing::field::{Field, Visit};
use tracing_subscriber::layer::{Context, Layer};

/// The slowest of this many requests counts as slow.
const SLOW: usize = 50;
/// Slow requests that are printed event by event.
const SHOWN: usize = 8;
/// Names of the stages.
const STAGES: [&str; 5] = ["enter", "slot", "send", "engine", "deliver"];

static EVENTS: Mutex<Vec<Event>> = Mutex::new(Vec::new());
static CALLS: Mutex<Vec<Call>> = Mutex::new(Vec::new());

/// Records each event with its time.
pub struct Recorder;

#[derive(Debug, Clone)]
struct Event {
    at: Instant,
    what: String,
    id: String,
    note: String,
}

/// What a caller saw.
#[derive(Debug, Clone)]
struct Call {
    content: String,
    sent: Instant,
    first: Instant,
}

/// One request with its stages.
struct Traced {
    total: Duration,
    stages: [Duration; STAGES.len()],
    sent: Instant,
    events: Vec<Event>,
}

impl<S: tracing::Subscriber> Layer<S> for Recorder {
    fn on_event(&self, event: &tracing::Event<'_>, _: Context<'_, S>) {
        let mut found = Event {
            at: Instant::now(),
            what: String::new(),
            id: String::new(),
            note: String::new(),
        };
        event.record(&mut found);
        if !found.id.is_empty() {
            EVENTS.lock().expect("events").push(found);
        }
    }
}

impl Visit for Event {
    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "id" => self.id = value.into(),
            "note" => self.note = value.into(),
            _ => {}
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "event" {
            self.what = format!("{value:?}");
        }
    }
}

/// Records that a caller who sent `content` at `sent` has its first token now.
pub fn first_token(content: &str, sent: Instant) {
    CALLS.lock().expect("calls").push(Call {
        content: content.into(),
        sent,
        first: Instant::now(),
    });
}

/// Prints the stages of the phases in `labels`, and drops all recorded events.
pub fn print(engines: &[&Engine], labels: &[&str]) {
    let mut events = std::mem::take(&mut *EVENTS.lock().expect("events"));
    let calls = std::mem::take(&mut *CALLS.lock().expect("calls"));
    events.sort_by(|a, b| (&a.id, a.at).cmp(&(&b.id, b.at)));
    let runs = engines.iter().flat_map(|e| e.runs());
    let mut ids: Vec<(Name, Name)> = runs.map(|r| (r.prompt, r.id)).collect();
    ids.sort();
    let names: String = STAGES.iter().map(|s| format!("{s:>9}")).collect();
    println!(
        "# {:15} {:>6} {:>9} {names}",
        "mean ms of", "count", "total"
    );
    for label in labels {
        let own = calls.iter().filter(|c| c.content.contains(label));
        let mut all: Vec<Traced> = own.filter_map(|c| trace(c, &ids, &events)).collect();
        all.sort_by_key(|t| t.total);
        let slow = all.len() - all.len() / SLOW;
        print_mean(&format!("{label} all"), &all);
        print_mean(&format!("{label} slow"), &all[slow..]);
        for traced in all.iter().rev().take(SHOWN) {
            print_one(traced);
        }
    }
}

fn row(cells: &[f64]) -> String {
    cells.iter().map(|c| format!("{c:>9.2}")).collect()
}

fn print_mean(label: &str, all: &[Traced]) {
    let mean = |of: &dyn Fn(&Traced) -> Duration| {
        all.iter().map(|t| ms(of(t))).sum::<f64>() / all.len().max(1) as f64
    };
    let stages: Vec<f64> = (0..STAGES.len()).map(|i| mean(&|t| t.stages[i])).collect();
    let total = mean(&|t| t.total);
    println!(
        "# {label:15} {:>6} {total:>9.2} {}",
        all.len(),
        row(&stages)
    );
}

fn print_one(traced: &Traced) {
    let stages: Vec<f64> = traced.stages.iter().map(|s| ms(*s)).collect();
    println!("# {:>32.2} {}", ms(traced.total), row(&stages));
    let events = traced.events.iter().map(|e| {
        let at = ms(e.at.saturating_duration_since(traced.sent));
        format!("{at:.1} {} {}", e.what, e.note)
    });
    println!("#     {}", events.collect::<Vec<_>>().join(", "));
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn trace(call: &Call, ids: &[(Name, Name)], events: &[Event]) -> Option<Traced> {
    let prompt = format!("user: {}\n", call.content);
    let at = ids.binary_search_by(|(p, _)| (**p).cmp(&prompt)).ok()?;
    // Further attempts have a number after the id of the request.
    let id = ids[at].1.split('.').next()?;
    let from = events.partition_point(|e| *e.id < *id);
    let own = events[from..].iter().take_while(|e| e.id.starts_with(id));
    let own = own.filter(|e| e.at <= call.first);
    let mut own: Vec<Event> = own.cloned().collect();
    own.sort_by_key(|e| e.at);
    let last = |what: &str| own.iter().rfind(|e| e.what == what).map(|e| e.at);
    let marks = [
        call.sent,
        last("Received")?,
        last("Granted")?,
        last("Sent")?,
        last("FirstToken")?,
        call.first,
    ];
    Some(Traced {
        total: call.first - call.sent,
        stages: std::array::from_fn(|i| marks[i + 1].saturating_duration_since(marks[i])),
        sent: call.sent,
        events: own,
    })
}
