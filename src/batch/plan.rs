//! Chooses the parts that this host claims.

use crate::{
    clock::Time,
    job::{Part, PartRef, State},
    lease::Watch,
    member::is_same_host,
    wire::Name,
};
use std::time::Duration;

/// Time for which only the preferred host claims a free part.
const HEAD_START: Duration = Duration::from_millis(700);
/// Most parts of one job considered in one plan.
const JOB_PARTS_MAX: usize = 32;
/// Most parts considered in one plan.
const PARTS_MAX: usize = 1024;

/// Plans claims. Tracks how long holders have been silent and parts have been free.
#[derive(Debug, Default)]
pub struct Planner {
    watch: Watch,
    /// Parts that were free in the last plan, sorted.
    free: Vec<FreePart>,
}

#[derive(Debug)]
struct FreePart {
    at: PartRef,
    since: Time,
}

/// When a host may claim the free parts of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// At once if it is the preferred one, otherwise after its head start.
    Usual,
    /// At once: the job is limited to its region, and it is no reader that others could prefer.
    First,
    /// One head start later than usual: the job is limited to other regions, which may have a host that follows the
    /// stream for it.
    Last,
    /// Not at all: the job is limited to other regions, which have a reader.
    Never,
}

impl Turn {
    /// How long a part has to be free before a host claims it; `is_mine` is whether the host is the preferred one.
    /// `None` if it does not.
    fn wait(self, is_mine: bool) -> Option<Duration> {
        let usual = match is_mine {
            true => Duration::ZERO,
            false => HEAD_START,
        };
        match self {
            Self::Usual => Some(usual),
            Self::First => Some(Duration::ZERO),
            Self::Last => Some(HEAD_START + usual),
            Self::Never => None,
        }
    }
}

/// Input of one plan.
#[derive(Debug)]
pub struct View<'a, G, P, Q, C> {
    /// Folded state of the stream.
    pub state: &'a State,
    /// Name of this host.
    pub me: &'a str,
    /// Present time.
    pub now: Time,
    /// Whether the state was at the head of the log when it was last read, a short time ago.
    pub is_fresh: bool,
    /// Time without a record of its holder after which a lease lapses.
    pub span: Duration,
    /// Whether a host is known to be gone.
    pub is_gone: G,
    /// Whether this host is the preferred one for a part.
    pub is_mine: P,
    /// When this host may claim a part of a workspace's job.
    pub turn: C,
    /// Number of a workspace's items that wait at this host.
    pub queued: Q,
}

#[derive(Debug)]
struct Candidate<'a> {
    workspace: &'a Name,
    at: PartRef,
    open: u32,
}

impl Planner {
    /// Parts to claim, so that about `stock` items of each workspace wait at this host; none while
    /// the state is not fresh.
    ///
    /// The number is per workspace, so that a large job does not delay a later one of another
    /// workspace.
    pub fn plan<G, P, Q, C>(&mut self, view: &View<'_, G, P, Q, C>, stock: usize) -> Vec<PartRef>
    where
        G: Fn(&str) -> bool,
        P: Fn(&PartRef) -> bool,
        Q: Fn(&str) -> usize,
        C: Fn(&Name, &Part) -> Turn,
    {
        self.observe(view);
        if !view.is_fresh {
            return Vec::new();
        }
        let candidates = self.gather(view, stock);
        choose(candidates, |workspace| (view.queued)(workspace), stock)
    }

    fn observe<G, P, Q, C>(&mut self, view: &View<'_, G, P, Q, C>) {
        if !view.is_fresh {
            self.watch.note_lag(view.now);
        }
        for holder in &view.state.holders {
            self.watch.observe(&holder.name, holder.last, view.now);
        }
        self.watch.retain(|name| view.state.holder(name).is_some());
    }

    fn gather<'a, G, P, Q, C>(
        &mut self,
        view: &View<'a, G, P, Q, C>,
        stock: usize,
    ) -> Vec<Candidate<'a>>
    where
        G: Fn(&str) -> bool,
        P: Fn(&PartRef) -> bool,
        Q: Fn(&str) -> usize,
        C: Fn(&Name, &Part) -> Turn,
    {
        let jobs = view.state.jobs.iter();
        let jobs = jobs.filter(|j| j.counts.open > 0 && (view.queued)(&j.workspace) < stock);
        let mut jobs: Vec<_> = jobs.collect();
        jobs.sort_by_key(|j| j.at);
        let mut found = Vec::new();
        let mut free = Vec::new();
        let this: &Self = self;
        let open = jobs.into_iter().flat_map(|j| {
            let parts = j.parts.iter().enumerate().map(move |(i, p)| (j, i, p));
            let open = parts.filter(move |(_, _, p)| p.open > 0 && this.is_free(view, p));
            open.take(JOB_PARTS_MAX)
        });
        for (job, i, part) in open.take(PARTS_MAX) {
            let at = PartRef {
                job: job.id.clone(),
                part: i as u32,
                epoch: part.epoch,
            };
            let since = self.free_since(&at).unwrap_or(view.now);
            let holder = part.holder.as_deref();
            let is_mine = holder.is_some_and(|h| is_same_host(h, view.me)) || (view.is_mine)(&at);
            let wait = (view.turn)(&job.workspace, part).wait(is_mine);
            if wait.is_some_and(|wait| view.now.saturating_sub(since) >= wait) {
                found.push(Candidate {
                    workspace: &job.workspace,
                    at: at.clone(),
                    open: part.open,
                });
            }
            free.push(FreePart { at, since });
        }
        free.sort_by(|a, b| a.at.cmp(&b.at));
        self.free = free;
        found
    }

    /// Whether the part has no holder, or one that was this host before a restart, is gone, or let
    /// its lease lapse.
    fn is_free<G: Fn(&str) -> bool, P, Q, C>(
        &self,
        view: &View<'_, G, P, Q, C>,
        part: &Part,
    ) -> bool {
        part.holder.as_ref().is_none_or(|holder| {
            let is_former = is_same_host(holder, view.me);
            **holder != *view.me
                && (is_former
                    || self.watch.is_lapsed(holder, view.now, view.span)
                    || (view.is_gone)(holder))
        })
    }

    fn free_since(&self, at: &PartRef) -> Option<Time> {
        let i = self.free.binary_search_by(|f| f.at.cmp(at)).ok()?;
        Some(self.free[i].since)
    }
}

/// Takes candidates for each workspace until it has `stock` items. The result begins with the
/// workspaces that have the fewest.
fn choose(parts: Vec<Candidate<'_>>, queued: impl Fn(&str) -> usize, stock: usize) -> Vec<PartRef> {
    let mut chosen: Vec<(usize, PartRef)> = Vec::new();
    let mut taken: Vec<(&Name, usize)> = Vec::new();
    for next in parts {
        let at = match taken.binary_search_by(|(name, _)| (*name).cmp(next.workspace)) {
            Ok(at) => at,
            Err(at) => {
                taken.insert(at, (next.workspace, queued(next.workspace)));
                at
            }
        };
        let before = taken[at].1;
        if before < stock {
            taken[at].1 += next.open as usize;
            chosen.push((before, next.at));
        }
    }
    chosen.sort_by_key(|(before, _)| *before);
    chosen.into_iter().map(|(_, at)| at).collect()
}
