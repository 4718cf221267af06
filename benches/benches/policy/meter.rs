//! Measures the service that accounts received and how long their tasks waited.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Length of the windows in which service is compared with entitlements.
pub const WINDOW: Duration = Duration::from_secs(10);

/// State of the simulation at one time.
#[derive(Debug, Clone)]
pub struct ServiceSample {
    /// Number of available slots.
    pub capacity: f64,
    /// Number of running tasks by account.
    pub running: Vec<f64>,
    /// Number of running or waiting tasks by account.
    pub demand: Vec<f64>,
    /// Work newly offered since the last sample by account, in slot-seconds.
    pub offered: Vec<f64>,
}

/// Collects service samples and wait times.
#[derive(Debug)]
pub struct ServiceMeter {
    shares: Vec<f64>,
    window: Vec<ServiceSample>,
    samples_per_window: usize,
    mean_distances: Vec<f64>,
    worst_distance: f64,
    relative_distances: Vec<f64>,
    capacity: f64,
    served: f64,
    allowed: f64,
    /// Times from submission of an interactive task to its first start, in microseconds.
    pub waits: Histogram<u64>,
    /// Number of answered tasks.
    pub answered: u64,
    /// Number of refused tasks.
    pub refused: u64,
    /// Number of tasks refused because their deadline had passed.
    pub late: u64,
    /// Number of starts sent to workers.
    pub starts: u64,
    /// Number of starts rejected by workers without a free slot.
    pub busy: u64,
    /// Maximum number of running tasks by which an account exceeded its limit.
    pub over_limit: f64,
    /// Running tasks of accounts with a limit, summed over all samples.
    pub limit_used: f64,
    /// Tasks that the limits and the demand of these accounts allow, summed over all samples.
    pub limit_allowed: f64,
}

impl ServiceMeter {
    /// Creates a meter for accounts with these shares that takes a sample every `step`.
    pub fn new(shares: Vec<f64>, step: Duration) -> Self {
        Self {
            shares,
            window: Vec::new(),
            samples_per_window: (WINDOW.as_millis() / step.as_millis()) as usize,
            mean_distances: Vec::new(),
            worst_distance: 0.0,
            relative_distances: Vec::new(),
            capacity: 0.0,
            served: 0.0,
            allowed: 0.0,
            waits: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds are valid"),
            answered: 0,
            refused: 0,
            late: 0,
            starts: 0,
            busy: 0,
            over_limit: 0.0,
            limit_used: 0.0,
            limit_allowed: 0.0,
        }
    }

    /// Adds a sample; the limit statistics cover the accounts that have an entry in `limits`.
    pub fn sample(&mut self, sample: ServiceSample, limits: &[f64]) {
        let demand: f64 = sample.demand.iter().sum();
        self.capacity += sample.capacity;
        self.served += sample.running.iter().sum::<f64>();
        self.allowed += demand.min(sample.capacity);
        for ((running, demand), limit) in sample.running.iter().zip(&sample.demand).zip(limits) {
            self.over_limit = self.over_limit.max(running - limit);
            self.limit_used += running;
            self.limit_allowed += demand.min(*limit);
        }
        self.window.push(sample);
        if self.window.len() == self.samples_per_window {
            self.close_window();
        }
    }

    /// Returns the mean fraction of the work that accounts received beyond their entitlements.
    pub fn mean_distance(&self) -> f64 {
        mean(&self.mean_distances)
    }

    /// Returns the maximum distance of an account from its entitlement in a window, relative to all
    /// work of the window.
    pub fn worst_distance(&self) -> f64 {
        self.worst_distance
    }

    /// Returns the mean distance of an account from its entitlement, relative to the entitlement.
    pub fn relative_distance(&self) -> f64 {
        mean(&self.relative_distances)
    }

    /// Returns the number of windows in which demand exceeded capacity by 5 % throughout.
    pub fn full_windows(&self) -> usize {
        self.mean_distances.len()
    }

    /// Returns the work done, relative to what demand and capacity allowed.
    pub fn utilisation(&self) -> f64 {
        self.served / self.allowed.max(f64::EPSILON)
    }

    /// Returns whether the next sample is the first of a window.
    pub fn begins_window(&self) -> bool {
        self.window.is_empty()
    }

    /// Compares service with entitlements if demand exceeded capacity by 5 % throughout the window.
    ///
    /// The entitlements divide the work done in the window by shares; an account is entitled to at
    /// most the work that it offered.
    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        let is_full =
            |sample: &ServiceSample| sample.demand.iter().sum::<f64>() > 1.05 * sample.capacity;
        if !window.iter().all(is_full) {
            return;
        }
        let step = WINDOW.as_secs_f64() / window.len() as f64;
        let sum = |values: fn(&ServiceSample) -> &Vec<f64>, account: usize| {
            window
                .iter()
                .map(|sample| values(sample)[account])
                .sum::<f64>()
        };
        let accounts = 0..self.shares.len();
        let served: Vec<f64> = accounts
            .clone()
            .map(|account| step * sum(|sample| &sample.running, account))
            .collect();
        let offered: Vec<f64> = accounts
            .map(|account| sum(|sample| &sample.offered, account))
            .collect();
        let total: f64 = served.iter().sum();
        let entitled = weighted_max_min(total, &self.shares, &offered);
        let distances = entitled.iter().zip(&served);
        let distances: Vec<f64> = distances
            .map(|(entitled, served)| (served - entitled).abs())
            .collect();
        self.mean_distances
            .push(distances.iter().sum::<f64>() / 2.0 / total);
        for (distance, entitled) in distances.iter().zip(&entitled) {
            self.worst_distance = self.worst_distance.max(distance / total);
            self.relative_distances.push(distance / entitled.max(1.0));
        }
        if std::env::var_os("POLICY_WINDOWS").is_some() {
            println!("served {served:.1?} entitled {entitled:.1?} offered {offered:.1?}");
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Divides `total` by weighted max-min fairness: by shares, with at most its demand per account.
fn weighted_max_min(total: f64, shares: &[f64], demand: &[f64]) -> Vec<f64> {
    let mut allocations = vec![0.0; shares.len()];
    let mut is_unsatisfied = vec![true; shares.len()];
    let mut remaining = total;
    loop {
        let weight: f64 = (0..shares.len())
            .filter(|account| is_unsatisfied[*account])
            .map(|account| shares[account])
            .sum();
        let level = remaining / weight.max(f64::EPSILON);
        let satisfied = (0..shares.len())
            .filter(|account| {
                is_unsatisfied[*account] && demand[*account] < shares[*account] * level
            })
            .collect::<Vec<_>>();
        if satisfied.is_empty() || weight == 0.0 {
            for account in (0..shares.len()).filter(|account| is_unsatisfied[*account]) {
                allocations[account] = shares[account] * level;
            }
            return allocations;
        }
        for account in satisfied {
            allocations[account] = demand[account];
            remaining -= demand[account];
            is_unsatisfied[account] = false;
        }
    }
}
