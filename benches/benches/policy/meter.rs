//! Measures of what the accounts were served and of how long their tasks waited.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Length of a window over which service is compared with shares.
pub const WINDOW: Duration = Duration::from_secs(10);

/// One sample of the world.
#[derive(Debug, Clone)]
pub struct ServiceSample {
    /// Slots that can be used.
    pub capacity: f64,
    /// Tasks that run, by account.
    pub running: Vec<f64>,
    /// Tasks that run or wait, by account.
    pub demand: Vec<f64>,
    /// Slot-seconds that were newly offered since the last sample, by account.
    pub offered: Vec<f64>,
}

/// Collects samples and waits.
#[derive(Debug)]
pub struct ServiceMeter {
    shares: Vec<f64>,
    window: Vec<ServiceSample>,
    samples_per_window: usize,
    mean: Vec<f64>,
    worst: f64,
    relative: Vec<f64>,
    capacity: f64,
    served: f64,
    usable: f64,
    /// Waits of callers from submission to the first start, in microseconds.
    pub waits: Histogram<u64>,
    /// Tasks answered.
    pub answered: u64,
    /// Tasks refused.
    pub refused: u64,
    /// Tasks refused after their deadline had passed.
    pub late: u64,
    /// Starts sent to workers.
    pub starts: u64,
    /// Starts that found no free slot.
    pub busy: u64,
    /// Most running tasks of an account above its limit.
    pub over_limit: f64,
    /// Running tasks of limited accounts against what limits and demand allow.
    pub limit_used: f64,
    /// What limits and demand allow.
    pub limit_usable: f64,
}

impl ServiceMeter {
    /// Creates a meter of accounts with these shares, sampled every `step`.
    pub fn new(shares: Vec<f64>, step: Duration) -> Self {
        Self {
            shares,
            window: Vec::new(),
            samples_per_window: (WINDOW.as_millis() / step.as_millis()) as usize,
            mean: Vec::new(),
            worst: 0.0,
            relative: Vec::new(),
            capacity: 0.0,
            served: 0.0,
            usable: 0.0,
            waits: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds are valid"),
            answered: 0,
            refused: 0,
            late: 0,
            starts: 0,
            busy: 0,
            over_limit: 0.0,
            limit_used: 0.0,
            limit_usable: 0.0,
        }
    }

    /// Takes a sample; limits are `None` where they are not measured.
    pub fn sample(&mut self, sample: ServiceSample, limits: &[f64]) {
        let demand: f64 = sample.demand.iter().sum();
        self.capacity += sample.capacity;
        self.served += sample.running.iter().sum::<f64>();
        self.usable += demand.min(sample.capacity);
        for ((running, demand), limit) in sample.running.iter().zip(&sample.demand).zip(limits) {
            self.over_limit = self.over_limit.max(running - limit);
            self.limit_used += running;
            self.limit_usable += demand.min(*limit);
        }
        self.window.push(sample);
        if self.window.len() == self.samples_per_window {
            self.close_window();
        }
    }

    /// Returns the mean part of the pool's work that was not where the shares put it.
    pub fn mean_distance(&self) -> f64 {
        average(&self.mean)
    }

    /// Returns the largest distance of an account in a window, as a part of the pool.
    pub fn worst_distance(&self) -> f64 {
        self.worst
    }

    /// Returns the mean distance of an account as a part of its own entitlement.
    pub fn relative_distance(&self) -> f64 {
        average(&self.relative)
    }

    /// Returns how many windows were full.
    pub fn full_windows(&self) -> usize {
        self.mean.len()
    }

    /// Returns the work done as a part of what demand and capacity allowed.
    pub fn utilisation(&self) -> f64 {
        self.served / self.usable.max(f64::EPSILON)
    }

    /// Returns whether the next sample begins a window.
    pub fn begins_window(&self) -> bool {
        self.window.is_empty()
    }

    /// Compares service and entitlement in a window that was full throughout.
    ///
    /// The entitlement divides the work done in the window by shares; an account is entitled to no more
    /// than it offered.
    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        let is_full =
            |sample: &ServiceSample| sample.demand.iter().sum::<f64>() > 1.05 * sample.capacity;
        if !window.iter().all(is_full) {
            return;
        }
        let step = WINDOW.as_secs_f64() / window.len() as f64;
        let sum = |part: fn(&ServiceSample) -> &Vec<f64>, account: usize| {
            window
                .iter()
                .map(|sample| part(sample)[account])
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
        let entitled = fill(total, &self.shares, &offered);
        let distances = entitled.iter().zip(&served);
        let distances: Vec<f64> = distances.map(|(due, had)| (had - due).abs()).collect();
        self.mean.push(distances.iter().sum::<f64>() / 2.0 / total);
        for (distance, due) in distances.iter().zip(&entitled) {
            self.worst = self.worst.max(distance / total);
            self.relative.push(distance / due.max(1.0));
        }
        if std::env::var_os("POLICY_WINDOWS").is_some() {
            println!("served {served:.1?} entitled {entitled:.1?} offered {offered:.1?}");
        }
    }
}

fn average(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the division of `total` by shares in which no account has more than its demand.
fn fill(total: f64, shares: &[f64], demand: &[f64]) -> Vec<f64> {
    let mut parts = vec![0.0; shares.len()];
    let mut is_open = vec![true; shares.len()];
    let mut left = total;
    loop {
        let weight: f64 = (0..shares.len())
            .filter(|account| is_open[*account])
            .map(|account| shares[account])
            .sum();
        let level = left / weight.max(f64::EPSILON);
        let full = (0..shares.len())
            .filter(|account| is_open[*account] && demand[*account] < shares[*account] * level)
            .collect::<Vec<_>>();
        if full.is_empty() || weight == 0.0 {
            for account in (0..shares.len()).filter(|account| is_open[*account]) {
                parts[account] = shares[account] * level;
            }
            return parts;
        }
        for account in full {
            parts[account] = demand[account];
            left -= demand[account];
            is_open[account] = false;
        }
    }
}
