//! The duty that reads the configuration and the list of workers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::links::FleetFeed;
use crate::message::{CallerMessage, ControlMessage, MachineMessage};
use crate::settings::NodeSettings;

/// Duties that receive the configuration and the workers.
pub struct FeedLinks {
    /// The control duty.
    pub control: RingSender<ControlMessage>,
    /// The callers duty.
    pub callers: RingSender<CallerMessage>,
    /// The machine duty.
    pub machines: RingSender<MachineMessage>,
    /// The intake duty.
    pub intakes: RingSender<Arc<FleetConfig>>,
}

/// Reads until the receiving duties have ended.
pub async fn run(
    feed: Box<dyn FleetFeed>,
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    links: FeedLinks,
) {
    let feed: Rc<dyn FleetFeed> = Rc::from(feed);
    let config = follow_config(&*feed, &settings, &*clock, &links);
    let workers = follow_workers(&*feed, &settings, &*clock, &links);
    future::zip(config, workers).await;
}

async fn follow_config(
    feed: &dyn FleetFeed,
    settings: &NodeSettings,
    clock: &dyn ClockSource,
    links: &FeedLinks,
) {
    let mut outage = OutageLog::new("configuration");
    let mut unsent = UnsentConfig::default();
    loop {
        let requested_at = clock.now();
        match feed.config(settings.config_timeout).await {
            Ok(config) => {
                outage.set_reachable(true);
                if let Some(config) = &config {
                    let event = EventCode::FleetAccepted.number();
                    let (version, queues) = (config.version, config.queues.len());
                    tracing::info!(event, version, queues, "configuration took effect");
                    unsent = UnsentConfig {
                        control: Some(Arc::clone(config)),
                        machines: Some(Arc::clone(config)),
                        intakes: Some(Arc::clone(config)),
                    };
                }
                let read = CallerMessage::ConfigRead {
                    requested_at,
                    config,
                };
                if links.callers.send(read).await.is_err() {
                    return;
                }
            }
            Err(fault) => {
                outage.record_fault(&fault);
                Timer::after(settings.store_retry_delay).await;
                continue;
            }
        }
        if unsent.offer(links).is_err() {
            return;
        }
        if unsent.control.is_none() && !offer_read(links, ShardInput::Config, requested_at) {
            return;
        }
    }
}

/// Tells the control duty that it has all changes of an input up to `requested_at`; returns whether
/// the duty still runs. A duty without room for the message lags, and gets the next one.
fn offer_read(links: &FeedLinks, input: ShardInput, requested_at: Instant) -> bool {
    let message = ControlMessage::InputRead(input, requested_at);
    is_full(links.control.offer(message)).is_ok()
}

/// The latest configuration for the duties that have not received it.
///
/// A duty that lags must not delay the reads: callers are refused once the last one is too old.
#[derive(Default)]
struct UnsentConfig {
    control: Option<Arc<FleetConfig>>,
    machines: Option<Arc<FleetConfig>>,
    intakes: Option<Arc<FleetConfig>>,
}

impl UnsentConfig {
    /// Sends the configuration to the duties whose rings have room.
    fn offer(&mut self, links: &FeedLinks) -> Result<(), RingClosed> {
        if let Some(config) = self.control.take() {
            let message = ControlMessage::Config(Arc::clone(&config));
            self.control = is_full(links.control.offer(message))?.then_some(config);
        }
        if let Some(config) = self.machines.take() {
            let message = MachineMessage::Config(Arc::clone(&config));
            self.machines = is_full(links.machines.offer(message))?.then_some(config);
        }
        if let Some(config) = self.intakes.take() {
            let offered = links.intakes.offer(Arc::clone(&config));
            self.intakes = is_full(offered)?.then_some(config);
        }
        Ok(())
    }
}

/// Returns whether a message was not taken since the ring is full.
fn is_full<T>(offered: Result<(), OfferError<T>>) -> Result<bool, RingClosed> {
    match offered {
        Ok(()) => Ok(false),
        Err(OfferError::Full(_)) => Ok(true),
        Err(OfferError::Closed(_)) => Err(RingClosed),
    }
}

async fn follow_workers(
    feed: &dyn FleetFeed,
    settings: &NodeSettings,
    clock: &dyn ClockSource,
    links: &FeedLinks,
) {
    let mut outage = OutageLog::new("workers");
    loop {
        let requested_at = clock.now();
        match feed.workers(settings.worker_timeout).await {
            Ok(workers) => {
                outage.set_reachable(true);
                if let Some(workers) = workers
                    && links
                        .control
                        .send(ControlMessage::Workers(workers))
                        .await
                        .is_err()
                {
                    return;
                }
                if !offer_read(links, ShardInput::Workers, requested_at) {
                    return;
                }
                Timer::after(settings.worker_interval).await;
            }
            Err(fault) => {
                outage.record_fault(&fault);
                Timer::after(settings.store_retry_delay).await;
            }
        }
    }
}

/// Logs the start and the end of outages of the store.
#[derive(Debug)]
pub struct OutageLog {
    what: &'static str,
    failing_since: Option<Instant>,
}

impl OutageLog {
    /// Creates a log for one kind of call, `what` in the log lines.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            failing_since: None,
        }
    }

    /// Records a failed call.
    pub fn record_fault(&mut self, fault: &dyn std::fmt::Display) {
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            let event = EventCode::StoreReach.number();
            tracing::warn!(event, what = self.what, %fault, "store not reached");
        }
    }

    /// Ends the outage if `reached`.
    pub fn set_reachable(&mut self, reached: bool) {
        if let Some(since) = self.failing_since.filter(|_| reached) {
            self.failing_since = None;
            let event = EventCode::StoreReach.number();
            let away_ms = since.elapsed().as_millis() as u64;
            tracing::info!(event, what = self.what, away_ms, "store reached again");
        }
    }
}
