//! Stand-in for the platform's machine control service.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_plan::prelude::*;
use pw_ring::prelude::*;
use serde::{Deserialize, Serialize};

use crate::reply::json_reply;

/// Settings of a [`MachineService`].
#[derive(Debug, Clone)]
pub struct MachineSettings {
    /// Workers whose machines the service controls.
    pub workers: Vec<WorkerId>,
    /// Duration of a drain, during which tasks still run.
    pub drain_time: Duration,
    /// Duration of a reboot.
    pub reboot_time: Duration,
    /// Every n-th order is executed but its response is lost; 0 disables this.
    pub response_loss_interval: usize,
}

/// Machine control service that simulates its machines.
#[derive(Debug)]
pub struct MachineService {
    address: SocketAddr,
}

/// Reboots and interruptions of a machine so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineHistory {
    /// Worker that the machine belongs to.
    pub worker: WorkerId,
    /// Number of reboots.
    pub reboots: u32,
    /// Whether a stop order ended a drain early and so interrupted tasks.
    pub cut_off: bool,
}

#[derive(Debug)]
struct SimulatedMachine {
    report: MachineReport,
    history: MachineHistory,
    changed: ChangeCursor,
    completes_at: Option<Instant>,
    executed: BTreeSet<(LogOffset, String)>,
}

#[derive(Debug)]
struct MachineTable {
    settings: MachineSettings,
    machines: IndexMap<WorkerId, SimulatedMachine>,
    next: ChangeCursor,
    orders: usize,
}

#[derive(Debug, Clone)]
struct MachineHandler {
    table: Rc<RefCell<MachineTable>>,
}

#[derive(Debug, Deserialize)]
struct ChangeQuery {
    #[serde(default)]
    after: ChangeCursor,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            workers: Vec::new(),
            drain_time: Duration::from_millis(200),
            reboot_time: Duration::from_millis(500),
            response_loss_interval: 0,
        }
    }
}

impl MachineService {
    /// Starts the service on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or no thread can be started.
    pub fn start(address: SocketAddr, settings: MachineSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        DutyThread::spawn("standin-machine", move |spawner| async move {
            let table = Rc::new(RefCell::new(MachineTable::new(settings)));
            let handler = Rc::new(MachineHandler { table });
            if let Err(error) = serve_http(listener, spawner, handler).await {
                tracing::error!(%error, "machine service failed");
            }
        })?;
        Ok(Self { address })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl MachineTable {
    fn new(settings: MachineSettings) -> Self {
        let machines = settings.workers.iter().enumerate();
        let machines = machines.map(|(index, worker)| {
            let machine = SimulatedMachine::new(worker, index as ChangeCursor + 1);
            (worker.clone(), machine)
        });
        Self {
            machines: machines.collect(),
            next: settings.workers.len() as ChangeCursor,
            settings,
            orders: 0,
        }
    }

    /// Completes the drains and reboots that are due.
    fn complete_due(&mut self, now: Instant) {
        let next = &mut self.next;
        let due = |machine: &&mut SimulatedMachine| {
            machine
                .completes_at
                .is_some_and(|completes_at| completes_at <= now)
        };
        for machine in self.machines.values_mut().filter(due) {
            machine.completes_at = None;
            if machine.report.state == MachineState::Rebooting {
                machine.report.boot = uuid::Uuid::new_v4().as_u128();
            }
            machine.report.state = MachineState::Drained;
            *next += 1;
            machine.changed = *next;
        }
    }

    fn changes(&self, after: ChangeCursor) -> MachineChanges {
        let changed = self.machines.values();
        let changed = changed.filter(|machine| machine.changed > after);
        MachineChanges {
            next: self.next,
            machines: changed.map(|machine| machine.report.clone()).collect(),
        }
    }

    /// Executes an order; returns the status of the response, or `None` if the response is lost.
    fn order(&mut self, now: Instant, order: &MachineOrder) -> Option<StatusCode> {
        self.orders += 1;
        let Some(machine) = self.machines.get_mut(&order.worker) else {
            return Some(StatusCode::NotFound);
        };
        let status = match machine.accept_order(now, order, &self.settings) {
            OrderOutcome::New => {
                self.next += 1;
                machine.changed = self.next;
                StatusCode::NoContent
            }
            OrderOutcome::Repeated => StatusCode::NoContent,
            OrderOutcome::Refused => StatusCode::Conflict,
        };
        let is_lost = self.settings.response_loss_interval > 0
            && self
                .orders
                .is_multiple_of(self.settings.response_loss_interval);
        (!is_lost).then_some(status)
    }

    fn history(&self) -> Vec<&MachineHistory> {
        let machines = self.machines.values();
        machines.map(|machine| &machine.history).collect()
    }
}

enum OrderOutcome {
    New,
    Repeated,
    Refused,
}

impl SimulatedMachine {
    fn new(worker: &WorkerId, changed: ChangeCursor) -> Self {
        Self {
            report: MachineReport {
                worker: worker.clone(),
                boot: uuid::Uuid::new_v4().as_u128(),
                state: MachineState::Serving,
                operation: 0,
            },
            history: MachineHistory {
                worker: worker.clone(),
                ..MachineHistory::default()
            },
            changed,
            completes_at: None,
            executed: BTreeSet::new(),
        }
    }

    fn accept_order(
        &mut self,
        now: Instant,
        order: &MachineOrder,
        settings: &MachineSettings,
    ) -> OrderOutcome {
        let key = (order.operation, order.action.to_string());
        if self.executed.contains(&key) {
            return OrderOutcome::Repeated;
        }
        let is_stale = order.operation < self.report.operation || order.boot != self.report.boot;
        let is_undrained = self.report.state != MachineState::Drained;
        if is_stale || (order.action == MachineAction::Reboot && is_undrained) {
            return OrderOutcome::Refused;
        }
        self.executed.insert(key);
        self.report.operation = order.operation;
        self.execute(now, order.action, settings);
        OrderOutcome::New
    }

    fn execute(&mut self, now: Instant, action: MachineAction, settings: &MachineSettings) {
        match action {
            MachineAction::Drain => {
                self.report.state = MachineState::Draining;
                self.completes_at = Some(now + settings.drain_time);
            }
            MachineAction::Checkpoint => {}
            MachineAction::Stop => {
                self.history.cut_off |= self.completes_at.is_some();
                self.completes_at = Some(now);
            }
            MachineAction::Reboot => {
                self.history.reboots += 1;
                self.report.state = MachineState::Rebooting;
                self.completes_at = Some(now + settings.reboot_time);
            }
            MachineAction::Resume => {
                self.report.state = MachineState::Serving;
                self.completes_at = None;
            }
        }
    }
}

impl HttpHandler for MachineHandler {
    fn handle(&self, request: Request) -> BoxedLocal<Response> {
        let handler = self.clone();
        async move {
            handler.table.borrow_mut().complete_due(Instant::now());
            match (request.method(), request.url().path()) {
                (Method::Get, "/v1/machines") => handler.list(&request),
                (Method::Post, "/v1/machines/orders") => handler.order(request).await,
                (Method::Get, "/v1/machines/history") => {
                    json_reply(StatusCode::Ok, &handler.table.borrow().history())
                }
                _ => Response::new(StatusCode::NotFound),
            }
        }
        .boxed_local()
    }
}

impl MachineHandler {
    fn list(&self, request: &Request) -> Response {
        match request.query::<ChangeQuery>() {
            Ok(query) => json_reply(StatusCode::Ok, &self.table.borrow().changes(query.after)),
            Err(_) => Response::new(StatusCode::BadRequest),
        }
    }

    async fn order(&self, mut request: Request) -> Response {
        let Ok(order) = request.body_json::<MachineOrder>().await else {
            return Response::new(StatusCode::BadRequest);
        };
        let status = self.table.borrow_mut().order(Instant::now(), &order);
        Response::new(status.unwrap_or(StatusCode::BadGateway))
    }
}
