//! Weighted fair sharing: service that accounts received from one pool, relative to their shares.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;

/// Account whose service is measured; `None` for callers of open queues without a key.
pub type ShareAccount = Option<AccountId>;

/// Settings of a [`ShareTracker`].
#[derive(Debug, Clone)]
pub struct ShareSettings {
    /// Time constant of the exponential decay of past service.
    pub decay_time: Duration,
    /// Service that a running task is charged in advance.
    pub start_charge: Duration,
    /// Share of callers of open queues without a key.
    pub open_share: u32,
    /// Age at which a peer's report expires.
    pub peer_timeout: Duration,
}

/// Decayed slot-seconds of each account on one pool, at this entry instance and at its peers.
///
/// Service is charged while tasks run, so neither declared nor estimated run times are needed.
#[derive(Debug, Clone, Default)]
pub struct ShareTracker {
    settings: ShareSettings,
    weights: IndexMap<ShareAccount, f64>,
    accounts: IndexMap<ShareAccount, AccountService>,
    peers: IndexMap<EntryId, PeerService>,
    peer_totals: IndexMap<ShareAccount, AccountService>,
}

/// Decayed service of an account with its numbers of running and waiting tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountService {
    /// Decayed slot-seconds that the account has received.
    pub served: f64,
    /// Number of running tasks.
    pub running: u32,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Decayed slot-seconds that are charged without service.
    ///
    /// They prevent an account that begins to wait from claiming credit for its idle time.
    pub idle_charge: f64,
    /// Time to which the amounts have been decayed.
    pub as_of: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct PeerService {
    reported: Option<Instant>,
    accounts: IndexMap<ShareAccount, AccountService>,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            decay_time: Duration::from_secs(10),
            start_charge: Duration::from_secs(1),
            open_share: 10,
            peer_timeout: Duration::from_secs(10),
        }
    }
}

impl AccountService {
    /// Returns the decayed slot-seconds at `now`, including those of running tasks.
    fn served_at(&self, now: Instant, decay_time: Duration) -> f64 {
        let factor = self.decay_factor(now, decay_time);
        self.served * factor + f64::from(self.running) * decay_time.as_secs_f64() * (1.0 - factor)
    }

    fn idle_charge_at(&self, now: Instant, decay_time: Duration) -> f64 {
        self.idle_charge * self.decay_factor(now, decay_time)
    }

    /// Returns the decay factor of earlier service at `now`.
    fn decay_factor(&self, now: Instant, decay_time: Duration) -> f64 {
        let elapsed = self
            .as_of
            .map_or(Duration::ZERO, |as_of| now.saturating_duration_since(as_of));
        (-elapsed.as_secs_f64() / decay_time.as_secs_f64()).exp()
    }

    fn decay_to(&mut self, now: Instant, decay_time: Duration) {
        self.served = self.served_at(now, decay_time);
        self.idle_charge = self.idle_charge_at(now, decay_time);
        self.as_of = Some(now);
    }
}

impl ShareTracker {
    /// Creates a tracker without service.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the shares; accounts that are not listed have the share of open queues.
    pub fn set_shares<'a>(&mut self, shares: impl Iterator<Item = (&'a AccountId, u32)>) {
        self.weights = shares
            .map(|(account, share)| (Some(account.clone()), f64::from(share.max(1))))
            .collect();
        let is_used = |service: &AccountService| service.running > 0 || service.waiting > 0;
        let weights = &self.weights;
        self.accounts
            .retain(|account, service| is_used(service) || weights.contains_key(account));
    }

    /// Records that a task of the account starts.
    pub fn record_start(&mut self, now: Instant, account: &ShareAccount) {
        self.decayed_account(now, account).running += 1;
    }

    /// Records that a task of the account has ended.
    pub fn record_end(&mut self, now: Instant, account: &ShareAccount) {
        let service = self.decayed_account(now, account);
        service.running = service.running.saturating_sub(1);
    }

    /// Sets how many tasks of the account wait.
    ///
    /// The score of an account that begins to wait is raised to the lowest score of the waiting
    /// accounts, so that idle time earns no credit.
    pub fn set_waiting(&mut self, now: Instant, account: &ShareAccount, waiting: u32) {
        let is_new = waiting > 0 && !self.is_waiting(account);
        let floor = if is_new {
            self.min_waiting_score(now)
        } else {
            None
        };
        let gap = floor.map(|floor| floor - self.score(now, account));
        let weight = self.weight(account);
        let idle_charge = self.idle_charge(now, account);
        let service = self.decayed_account(now, account);
        service.waiting = waiting;
        if let Some(gap) = gap.filter(|gap| *gap > 0.0) {
            service.idle_charge = idle_charge + gap * weight;
        }
    }

    /// Records a peer's report of the service that its tasks have received from the pool.
    pub fn record_report(
        &mut self,
        now: Instant,
        peer: &EntryId,
        report: impl IntoIterator<Item = (ShareAccount, AccountService)>,
    ) {
        let service = PeerService {
            reported: Some(now),
            accounts: report.into_iter().collect(),
        };
        self.peers.insert(peer.clone(), service);
        self.expire_peers(now);
        self.update_peer_totals();
    }

    /// Removes peers whose last report has expired.
    pub fn expire_peers(&mut self, now: Instant) {
        let timeout = self.settings.peer_timeout;
        let count = self.peers.len();
        self.peers.retain(|_, peer| {
            peer.reported
                .is_some_and(|reported| now < reported + timeout)
        });
        if self.peers.len() < count {
            self.update_peer_totals();
        }
    }

    /// Returns whether any peer has an unexpired report.
    pub fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Returns the service of this entry instance for its report to peers.
    pub fn report(&self, now: Instant) -> Vec<(ShareAccount, AccountService)> {
        let decay_time = self.settings.decay_time;
        self.accounts
            .iter()
            .map(|(account, service)| {
                let mut service = *service;
                service.decay_to(now, decay_time);
                (account.clone(), service)
            })
            .filter(|(_, report)| report.served > 0.001 || report.running + report.waiting > 0)
            .collect()
    }

    /// Returns the account's slot-seconds per unit of its share; the account with the lowest score
    /// is served first.
    pub fn score(&self, now: Instant, account: &ShareAccount) -> f64 {
        let start_charge = self.settings.start_charge.as_secs_f64();
        let decay_time = self.settings.decay_time;
        let served: f64 = [&self.accounts, &self.peer_totals]
            .into_iter()
            .filter_map(|accounts| accounts.get(account))
            .map(|service| {
                service.served_at(now, decay_time) + f64::from(service.running) * start_charge
            })
            .sum();
        (served + self.idle_charge(now, account)) / self.weight(account)
    }

    /// Returns the age of the oldest of the peers' latest reports; zero without peers.
    pub fn report_age(&self, now: Instant) -> Duration {
        let reported = self.peers.values().filter_map(|peer| peer.reported).min();
        reported.map_or(Duration::ZERO, |reported| {
            now.saturating_duration_since(reported)
        })
    }

    /// Returns the increase of the account's score when one task starts.
    pub fn task_score(&self, account: &ShareAccount) -> f64 {
        self.settings.start_charge.as_secs_f64() / self.weight(account)
    }

    /// Returns the lowest score among accounts with waiting tasks at this entry instance or a peer.
    pub fn min_waiting_score(&self, now: Instant) -> Option<f64> {
        self.accounts
            .iter()
            .chain(&self.peer_totals)
            .filter(|(_, service)| service.waiting > 0)
            .map(|(account, _)| self.score(now, account))
            .min_by(f64::total_cmp)
    }

    /// Returns the sum of the shares of accounts that wait at this entry instance or a peer.
    pub fn waiting_weight(&self) -> f64 {
        let here = self.accounts.iter();
        let peer_totals = self.peer_totals.iter();
        let peer_totals = peer_totals.filter(|(account, _)| {
            let service = self.accounts.get(*account);
            service.is_none_or(|service| service.waiting == 0)
        });
        here.chain(peer_totals)
            .filter(|(_, service)| service.waiting > 0)
            .map(|(account, _)| self.weight(account))
            .sum()
    }

    /// Returns the fraction of a full pool that the account is entitled to at this entry instance.
    ///
    /// The account's fraction is divided among entry instances in proportion to its waiting tasks.
    pub fn entitled_fraction(&self, account: &ShareAccount) -> f64 {
        let waiting = |accounts: &IndexMap<ShareAccount, AccountService>| {
            let service = accounts.get(account);
            service.map_or(0.0, |service| f64::from(service.waiting))
        };
        let here = waiting(&self.accounts);
        let all = here + waiting(&self.peer_totals);
        if all == 0.0 {
            return 0.0;
        }
        here / all * self.weight(account) / self.waiting_weight()
    }

    /// Returns how many tasks of the account this entry instance is running.
    pub fn running(&self, account: &ShareAccount) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |service| service.running)
    }

    /// Returns how many peers have an unexpired report.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the account's share.
    pub fn weight(&self, account: &ShareAccount) -> f64 {
        let open = f64::from(self.settings.open_share.max(1));
        self.weights.get(account).copied().unwrap_or(open)
    }

    /// Returns the slot-seconds charged to the account without service.
    ///
    /// Peers charge the same account independently, so the largest amount counts and not the sum.
    fn idle_charge(&self, now: Instant, account: &ShareAccount) -> f64 {
        let decay_time = self.settings.decay_time;
        [&self.accounts, &self.peer_totals]
            .into_iter()
            .filter_map(|accounts| accounts.get(account))
            .map(|service| service.idle_charge_at(now, decay_time))
            .fold(0.0, f64::max)
    }

    fn is_waiting(&self, account: &ShareAccount) -> bool {
        [&self.accounts, &self.peer_totals]
            .into_iter()
            .filter_map(|accounts| accounts.get(account))
            .any(|service| service.waiting > 0)
    }

    /// Sums the service at peers, decayed to the time of the latest report.
    fn update_peer_totals(&mut self) {
        let decay_time = self.settings.decay_time;
        let latest = self.peers.values().filter_map(|peer| peer.reported).max();
        self.peer_totals.clear();
        for peer in self.peers.values() {
            for (account, service) in &peer.accounts {
                let mut service = *service;
                service.as_of = peer.reported;
                let sum = self.peer_totals.entry(account.clone()).or_default();
                sum.as_of = latest;
                sum.served += latest.map_or(0.0, |latest| service.served_at(latest, decay_time));
                let idle_charge =
                    latest.map_or(0.0, |latest| service.idle_charge_at(latest, decay_time));
                sum.idle_charge = sum.idle_charge.max(idle_charge);
                sum.running += service.running;
                sum.waiting += service.waiting;
            }
        }
    }

    /// Returns the account's service, decayed to `now`.
    fn decayed_account(&mut self, now: Instant, account: &ShareAccount) -> &mut AccountService {
        let service = self.accounts.entry(account.clone()).or_default();
        service.decay_to(now, self.settings.decay_time);
        service
    }
}
