//! Service that each account has had from one pool, measured against its share.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;

/// Account whose service is measured; `None` stands for the callers of open queues without a key.
pub type ShareAccount = Option<AccountId>;

/// Settings of a share book.
#[derive(Debug, Clone)]
pub struct ShareSettings {
    /// Time after which past service counts 1/e of its slot-seconds.
    pub memory: Duration,
    /// Time for which a running task counts ahead of its service.
    pub horizon: Duration,
    /// Share of the callers of open queues without a key.
    pub open_share: u32,
    /// Age at which a peer's report no longer counts.
    pub peer_timeout: Duration,
}

/// Decayed slot-seconds of each account on one pool, here and at peers.
///
/// Service is counted while tasks run, so neither declared nor estimated run times matter.
#[derive(Debug, Clone, Default)]
pub struct ShareTracker {
    settings: ShareSettings,
    weights: IndexMap<ShareAccount, f64>,
    accounts: IndexMap<ShareAccount, AccountService>,
    peers: IndexMap<EntryId, PeerService>,
    elsewhere: IndexMap<ShareAccount, AccountService>,
}

/// Slot-seconds that an account has had, decayed, with the tasks that run now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountService {
    /// Decayed slot-seconds.
    pub served: f64,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Decayed slot-seconds that count although they were not served: an account that begins to wait
    /// has no claim from the time before.
    pub raised: f64,
    /// When the amounts were measured.
    pub as_of: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct PeerService {
    heard: Option<Instant>,
    accounts: IndexMap<ShareAccount, AccountService>,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(10),
            horizon: Duration::from_secs(1),
            open_share: 10,
            peer_timeout: Duration::from_secs(10),
        }
    }
}

impl AccountService {
    /// Returns the decayed slot-seconds at `now`, with those of the running tasks so far.
    fn served_at(&self, now: Instant, memory: Duration) -> f64 {
        let kept = self.kept_at(now, memory);
        self.served * kept + f64::from(self.running) * memory.as_secs_f64() * (1.0 - kept)
    }

    fn raised_at(&self, now: Instant, memory: Duration) -> f64 {
        self.raised * self.kept_at(now, memory)
    }

    /// Returns the part of earlier service that still counts.
    fn kept_at(&self, now: Instant, memory: Duration) -> f64 {
        let elapsed = self
            .as_of
            .map_or(Duration::ZERO, |as_of| now.saturating_duration_since(as_of));
        (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp()
    }

    fn settle(&mut self, now: Instant, memory: Duration) {
        self.served = self.served_at(now, memory);
        self.raised = self.raised_at(now, memory);
        self.as_of = Some(now);
    }
}

impl ShareTracker {
    /// Creates a book without service.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the shares; an account that is not named has the share of open queues.
    pub fn set_shares<'a>(&mut self, shares: impl Iterator<Item = (&'a AccountId, u32)>) {
        self.weights = shares
            .map(|(account, share)| (Some(account.clone()), f64::from(share.max(1))))
            .collect();
        let is_used = |service: &AccountService| service.running > 0 || service.waiting > 0;
        let weights = &self.weights;
        self.accounts
            .retain(|account, service| is_used(service) || weights.contains_key(account));
    }

    /// Counts a task that starts.
    pub fn note_start(&mut self, now: Instant, account: &ShareAccount) {
        self.settled(now, account).running += 1;
    }

    /// Counts a task that has ended.
    pub fn note_end(&mut self, now: Instant, account: &ShareAccount) {
        let service = self.settled(now, account);
        service.running = service.running.saturating_sub(1);
    }

    /// Sets how many tasks of the account wait; an account that begins to wait has no claim from before.
    pub fn set_waiting(&mut self, now: Instant, account: &ShareAccount, waiting: u32) {
        let is_new = waiting > 0 && !self.is_waiting(account);
        let floor = if is_new {
            self.min_waiting_score(now)
        } else {
            None
        };
        let score = floor.map(|floor| floor - self.score(now, account));
        let weight = self.weight(account);
        let known = self.raised(now, account);
        let service = self.settled(now, account);
        service.waiting = waiting;
        if let Some(missing) = score.filter(|missing| *missing > 0.0) {
            service.raised = known + missing * weight;
        }
    }

    /// Takes what a peer reports of its own service on the pool.
    pub fn record_report(
        &mut self,
        now: Instant,
        peer: &EntryId,
        report: impl IntoIterator<Item = (ShareAccount, AccountService)>,
    ) {
        let service = PeerService {
            heard: Some(now),
            accounts: report.into_iter().collect(),
        };
        self.peers.insert(peer.clone(), service);
        self.expire_peers(now);
        self.sum_peers();
    }

    /// Forgets peers that have not reported for long.
    pub fn expire_peers(&mut self, now: Instant) {
        let timeout = self.settings.peer_timeout;
        let known = self.peers.len();
        self.peers
            .retain(|_, peer| peer.heard.is_some_and(|heard| now < heard + timeout));
        if self.peers.len() < known {
            self.sum_peers();
        }
    }

    /// Returns whether any peer has reported lately.
    pub fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Returns this entry instance's own service, for its peers.
    pub fn report(&self, now: Instant) -> Vec<(ShareAccount, AccountService)> {
        let memory = self.settings.memory;
        self.accounts
            .iter()
            .map(|(account, service)| {
                let mut service = *service;
                service.settle(now, memory);
                (account.clone(), service)
            })
            .filter(|(_, report)| report.served > 0.001 || report.running + report.waiting > 0)
            .collect()
    }

    /// Returns the account's slot-seconds for each unit of its share; the lowest goes first.
    pub fn score(&self, now: Instant, account: &ShareAccount) -> f64 {
        let horizon = self.settings.horizon.as_secs_f64();
        let memory = self.settings.memory;
        let served: f64 = [&self.accounts, &self.elsewhere]
            .into_iter()
            .filter_map(|accounts| accounts.get(account))
            .map(|service| service.served_at(now, memory) + f64::from(service.running) * horizon)
            .sum();
        (served + self.raised(now, account)) / self.weight(account)
    }

    /// Returns the age of the oldest report of a peer that counts.
    pub fn report_age(&self, now: Instant) -> Duration {
        let heard = self.peers.values().filter_map(|peer| peer.heard).min();
        heard.map_or(Duration::ZERO, |heard| now.saturating_duration_since(heard))
    }

    /// Returns by how much one running task raises the account's score at once.
    pub fn task_score(&self, account: &ShareAccount) -> f64 {
        self.settings.horizon.as_secs_f64() / self.weight(account)
    }

    /// Returns the lowest score of the accounts that wait at this entry instance or at a peer.
    pub fn min_waiting_score(&self, now: Instant) -> Option<f64> {
        self.accounts
            .iter()
            .chain(&self.elsewhere)
            .filter(|(_, service)| service.waiting > 0)
            .map(|(account, _)| self.score(now, account))
            .min_by(f64::total_cmp)
    }

    /// Returns the sum of the shares of the accounts that wait here or at a peer.
    pub fn waiting_weight(&self) -> f64 {
        let here = self.accounts.iter();
        let elsewhere = self.elsewhere.iter();
        let elsewhere = elsewhere.filter(|(account, _)| {
            let service = self.accounts.get(*account);
            service.is_none_or(|service| service.waiting == 0)
        });
        here.chain(elsewhere)
            .filter(|(_, service)| service.waiting > 0)
            .map(|(account, _)| self.weight(account))
            .sum()
    }

    /// Returns the part of a full pool that the account is entitled to through this entry instance.
    ///
    /// The account's part is divided among the entry instances by how many of its tasks wait there.
    pub fn entitled_fraction(&self, account: &ShareAccount) -> f64 {
        let waiting = |accounts: &IndexMap<ShareAccount, AccountService>| {
            let service = accounts.get(account);
            service.map_or(0.0, |service| f64::from(service.waiting))
        };
        let here = waiting(&self.accounts);
        let all = here + waiting(&self.elsewhere);
        if all == 0.0 {
            return 0.0;
        }
        here / all * self.weight(account) / self.waiting_weight()
    }

    /// Returns how many tasks of the account run through this entry instance.
    pub fn running(&self, account: &ShareAccount) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |service| service.running)
    }

    /// Returns how many peers have reported lately.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the account's share.
    pub fn weight(&self, account: &ShareAccount) -> f64 {
        let open = f64::from(self.settings.open_share.max(1));
        self.weights.get(account).copied().unwrap_or(open)
    }

    /// Returns what counts for the account without service; peers raise it for the same reason.
    fn raised(&self, now: Instant, account: &ShareAccount) -> f64 {
        let memory = self.settings.memory;
        [&self.accounts, &self.elsewhere]
            .into_iter()
            .filter_map(|accounts| accounts.get(account))
            .map(|service| service.raised_at(now, memory))
            .fold(0.0, f64::max)
    }

    fn is_waiting(&self, account: &ShareAccount) -> bool {
        [&self.accounts, &self.elsewhere]
            .into_iter()
            .filter_map(|accounts| accounts.get(account))
            .any(|service| service.waiting > 0)
    }

    /// Adds up the service at peers, each brought to the time of the latest report.
    fn sum_peers(&mut self) {
        let memory = self.settings.memory;
        let latest = self.peers.values().filter_map(|peer| peer.heard).max();
        self.elsewhere.clear();
        for peer in self.peers.values() {
            for (account, service) in &peer.accounts {
                let mut service = *service;
                service.as_of = peer.heard;
                let sum = self.elsewhere.entry(account.clone()).or_default();
                sum.as_of = latest;
                sum.served += latest.map_or(0.0, |latest| service.served_at(latest, memory));
                let raised = latest.map_or(0.0, |latest| service.raised_at(latest, memory));
                sum.raised = sum.raised.max(raised);
                sum.running += service.running;
                sum.waiting += service.waiting;
            }
        }
    }

    fn settled(&mut self, now: Instant, account: &ShareAccount) -> &mut AccountService {
        let service = self.accounts.entry(account.clone()).or_default();
        service.settle(now, self.settings.memory);
        service
    }
}
