//! Supplies requests with rate tokens: from the host's own part, from loans, or by borrowing.

use super::{
    Ask, Balance, Division, Lender, Lending, OwnPart, Proof, SilentLenders, Step, Token,
    call::{Borrow, RecentClaim, lend_local},
    divide, place,
};
use crate::{
    clock::Time,
    config::Workspace,
    error::{Fail, Kind, Res},
    kernel::Host,
    settings::Settings,
    wire::{Name, Peer},
};
use std::{
    sync::{
        Arc, Condvar, Mutex, RwLock,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// Time limit of a call to a lender.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// Time limit of a report of used tokens. Reports run one after another, so a lender that does not
/// answer delays all others by this, once in a second (`SilentLenders`).
const REPORT_LIMIT: Duration = Duration::from_millis(100);
/// Longest wait of a request while some slot has no holder.
const WAIT_LIMIT: Duration = Duration::from_millis(1500);
/// Shortest retry delay when no lender can be reached. A host's own part yields a token about that
/// often, and lenders are asked again after 100 ms.
const RETRY_MIN: Duration = Duration::from_millis(400);
/// Time until slots lend again after all hosts restart: the longest loan of the previous holder
/// with its margin, and half a second to claim the slots.
const LENDING_START: Duration = Duration::from_millis(1250 + 500);
/// Longest wait for another request's loan before checking again.
const RECHECK: Duration = Duration::from_millis(50);

/// Time from the start of the host to the first token of its own part. The other hosts read the
/// list every second and count this host by then.
const OWN_WAIT: Duration = Duration::from_secs(3);
/// Loan number that marks a token of the host's own part.
const OWN_SEQ: u64 = u64::MAX;

/// Rate tokens of one host, for all workspaces.
#[derive(Debug, Default)]
pub struct Limits {
    /// Percentage of each rate that goes to the hosts' own parts.
    own_percent: u32,
    /// Whether used tokens are reported right away.
    report_used: bool,
    /// Sorted by workspace.
    accounts: RwLock<Vec<Arc<Account>>>,
    silent: Mutex<SilentLenders>,
    pub(super) lender: Mutex<Lender>,
    pub(super) claims: Mutex<Vec<RecentClaim>>,
    pub(super) next_scan: Mutex<usize>,
}

#[derive(Debug)]
struct Account {
    workspace: Name,
    balance: Mutex<Balance>,
    own: Mutex<OwnPart>,
    changed: Condvar,
    waiting: AtomicU32,
}

/// A token held by a request. It must be confirmed right before the request is sent, and is
/// returned if dropped unconfirmed.
#[derive(Debug)]
pub struct Permit {
    account: Arc<Account>,
    token: Option<Token>,
}

impl Limits {
    /// No tokens yet, and no slots held.
    pub fn new(settings: &Settings) -> Self {
        let limits = Self {
            own_percent: settings.own,
            report_used: settings.report_used,
            ..Self::default()
        };
        let mut lender = limits.lender.lock().expect("lender");
        lender.proof = Proof::valid_for(settings.proof);
        lender.tolerance = settings.tolerance;
        lender.report_used = settings.report_used;
        drop(lender);
        limits
    }

    /// Division of the rate of `workspace` among the hosts listed now.
    pub(super) fn division(&self, host: &Host, workspace: &Workspace) -> Division {
        divide(workspace, host.members.host_count(), self.own_percent)
    }

    /// Takes a token of `workspace`; waits at most `WAIT_LIMIT` while some slot has no holder.
    ///
    /// # Errors
    /// `RateLimited` with the retry delay, `Unauthorized` if the workspace was removed.
    pub fn reserve(&self, host: &Arc<Host>, workspace: &Name) -> Res<Permit> {
        self.reserve_within(host, workspace, WAIT_LIMIT)
    }

    /// Like `reserve`, with `limit` in place of `WAIT_LIMIT`.
    ///
    /// # Errors
    /// `RateLimited` with the retry delay, `Unauthorized` if the workspace was removed.
    pub fn reserve_within(
        &self,
        host: &Arc<Host>,
        workspace: &Name,
        limit: Duration,
    ) -> Res<Permit> {
        let account = self.account(workspace);
        let token = account.take(host, limit)?;
        Ok(Permit {
            account,
            token: Some(token),
        })
    }

    /// Number of slots that this host holds, including those that do not lend yet.
    pub fn held(&self) -> usize {
        self.lender.lock().expect("lender").count()
    }

    /// Whether used tokens are reported right away.
    pub(super) fn is_report_used(&self) -> bool {
        self.report_used
    }

    /// Reports used tokens to their lenders. A report that is lost is not repeated: the next loan
    /// from the slot carries it, or the lender waits for the loan's end. Lenders that are down or
    /// did not answer lately are skipped, since each would delay the reports to all others.
    pub(super) fn report_used(&self, host: &Arc<Host>) {
        let accounts = self.accounts.read().expect("accounts").clone();
        for account in accounts {
            let balance = account.balance.lock().expect("balance");
            let slots = balance.unreported(host.now());
            drop(balance);
            if slots.is_empty() {
                continue;
            }
            let Ok(workspace) = account.declared(host) else {
                continue;
            };
            for slot in slots {
                self.report_slot(host, &account, &workspace, slot);
            }
        }
    }

    fn report_slot(&self, host: &Arc<Host>, account: &Account, workspace: &Workspace, slot: u32) {
        let Some(peer) = lender_of(host, workspace, slot) else {
            return;
        };
        let is_down = peer.name != host.me.name && host.members.is_down(&peer.name);
        let silent = self.silent.lock().expect("silent lenders");
        if is_down || silent.contains(&peer.name, host.now()) {
            return;
        }
        drop(silent);
        let mut balance = account.balance.lock().expect("balance");
        let ask = balance.report_used(slot, host.now());
        drop(balance);
        if send(host, workspace, &ask, &peer, REPORT_LIMIT).is_none() {
            let mut silent = self.silent.lock().expect("silent lenders");
            silent.note(peer.name, host.now());
        }
    }

    fn account(&self, workspace: &Name) -> Arc<Account> {
        let find =
            |accounts: &[Arc<Account>]| accounts.binary_search_by(|d| d.workspace.cmp(workspace));
        let accounts = self.accounts.read().expect("accounts");
        if let Ok(i) = find(&accounts) {
            return accounts[i].clone();
        }
        drop(accounts);
        let mut accounts = self.accounts.write().expect("accounts");
        match find(&accounts) {
            Ok(i) => accounts[i].clone(),
            Err(i) => {
                let balance = Balance::starting(rand::random());
                let account = Arc::new(Account {
                    workspace: workspace.clone(),
                    balance: Mutex::new(balance.with_report_used(self.report_used)),
                    own: Mutex::default(),
                    changed: Condvar::new(),
                    waiting: AtomicU32::new(0),
                });
                accounts.insert(i, account.clone());
                account
            }
        }
    }
}

impl Permit {
    /// Spends the token, or a new one if it expired or was already spent by an earlier call.
    ///
    /// # Errors
    /// As for `reserve`, if a new token was needed.
    pub fn confirm(&mut self, host: &Arc<Host>) -> Res<()> {
        loop {
            let token = match self.token.take() {
                Some(token) => token,
                None => self.account.take(host, WAIT_LIMIT)?,
            };
            if token.seq == OWN_SEQ {
                return Ok(());
            }
            let mut balance = self.account.balance.lock().expect("balance");
            if balance.confirm(token, host.now()) {
                return Ok(());
            }
            balance.put_back(token);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(token) = self.token.take() else {
            return;
        };
        if token.seq == OWN_SEQ {
            return self.account.own.lock().expect("own part").put_back();
        }
        self.account
            .balance
            .lock()
            .expect("balance")
            .put_back(token);
        self.account.changed.notify_one();
    }
}

impl Account {
    fn take(&self, host: &Arc<Host>, limit: Duration) -> Res<Token> {
        let since = host.now();
        let end = since + limit;
        self.balance.lock().expect("balance").arrive(since);
        loop {
            let workspace = self.declared(host)?;
            if let Some(token) = self.take_own(host, &workspace) {
                return Ok(token);
            }
            let waiting = self.waiting.load(Ordering::Relaxed);
            let mut balance = self.balance.lock().expect("balance");
            let now = host.now();
            let step = balance.step(&workspace, waiting, since, now);
            match step {
                Step::Spend(token) => return Ok(token),
                Step::Ask(ask) => {
                    drop(balance);
                    self.borrow(host, &workspace, &ask);
                }
                Step::Wait => self.wait(balance, RECHECK),
                Step::Later(span) if now + span <= end => self.wait(balance, span),
                Step::Later(span) => return Err(refused(&self.workspace, span)),
                Step::Refuse { after, sure: true } => {
                    return Err(refused(&self.workspace, after));
                }
                Step::Refuse { .. } if now >= end => {
                    let name = &self.workspace;
                    let text = format!("no host can lend workspace \"{name}\" a rate token; retry");
                    let fail = Fail::new(Kind::RateLimited, text);
                    return Err(fail.retry_after(limit.max(retry_delay(now))));
                }
                Step::Refuse { after, .. } => self.wait(balance, after.min(RECHECK)),
            }
        }
    }

    /// Takes a token of this host's own part, once the other hosts have read the list and count
    /// this host in their division.
    fn take_own(&self, host: &Host, workspace: &Workspace) -> Option<Token> {
        let now = host.now();
        let is_counted = match host.members.announced() {
            Some(_) => now >= OWN_WAIT || host.members.has_earlier_start(),
            None => false,
        };
        let is_counted = is_counted && host.members.fresh().is_some();
        let rate = host.limits.division(host, workspace).own;
        if !is_counted || rate == 0 {
            return None;
        }
        let taken = self.own.lock().expect("own part").take(rate, now);
        taken.then_some(Token {
            seq: OWN_SEQ,
            until: Time::MAX,
        })
    }

    fn declared(&self, host: &Host) -> Res<Workspace> {
        let found = host.config.view(|s| s.workspace(&self.workspace).cloned());
        found.ok_or_else(|| Fail::new(Kind::Unauthorized, "the workspace of the key was removed"))
    }

    fn wait(&self, balance: std::sync::MutexGuard<'_, Balance>, limit: Duration) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        drop(self.changed.wait_timeout(balance, limit).expect("balance"));
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    fn borrow(&self, host: &Arc<Host>, workspace: &Workspace, ask: &Ask) {
        let lending = borrow(host, workspace, ask);
        let now = host.now();
        self.balance
            .lock()
            .expect("balance")
            .answer(ask, lending, now);
        self.changed.notify_all();
    }
}

/// Host in charge of the slot; `None` if there is none now.
fn lender_of(host: &Host, workspace: &Workspace, slot: u32) -> Option<Peer> {
    let ring = host.members.ring();
    let places = host
        .homes
        .view(|h| place(&ring, workspace, h.slots(&workspace.name)));
    places.get(slot as usize)?.peer().cloned()
}

/// Borrows from the host in charge of the slot; `None` if it did not answer.
fn borrow(host: &Arc<Host>, workspace: &Workspace, ask: &Ask) -> Option<Lending> {
    let peer = lender_of(host, workspace, ask.slot)?;
    send(host, workspace, ask, &peer, ASK_LIMIT)
}

fn send(
    host: &Arc<Host>,
    workspace: &Workspace,
    ask: &Ask,
    peer: &Peer,
    limit: Duration,
) -> Option<Lending> {
    let call = Borrow {
        workspace: workspace.name.clone(),
        slot: ask.slot,
        host: host.me.name.clone(),
        seq: ask.seq,
        need: ask.need,
        want: ask.want,
        reports: ask.reports.clone(),
    };
    if peer.name == host.me.name {
        return Some(lend_local(host, &call));
    }
    host.members.watch(peer, host.now());
    if host.members.is_down(&peer.name) {
        return None;
    }
    host.call(peer.addr, &call, limit).ok()
}

/// Retry delay of a request for which no host can lend, on a host that has run for `up`. Where all
/// hosts have just started, a request that returns before slots lend again would be refused again.
pub fn retry_delay(up: Time) -> Duration {
    LENDING_START.saturating_sub(up).max(RETRY_MIN)
}

fn refused(workspace: &Name, after: Time) -> Fail {
    let text = format!("workspace \"{workspace}\" is over its rate; wait and send it again");
    Fail::new(Kind::RateLimited, text).retry_after(after)
}
