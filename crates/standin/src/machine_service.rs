//! Stand-in of the platform's control of machines.

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

/// How the machines of a stand-in behave.
#[derive(Debug, Clone)]
pub struct MachineSettings {
    /// Workers whose machines it controls.
    pub workers: Vec<WorkerId>,
    /// Time for which a draining machine still runs tasks.
    pub drain_time: Duration,
    /// Time that a reboot takes.
    pub reboot_time: Duration,
    /// Answer that is lost after its order took effect: every so manieth; 0 loses none.
    pub response_loss_interval: usize,
}

/// A control of made-up machines.
#[derive(Debug)]
pub struct MachineService {
    address: SocketAddr,
}

/// What happened to a machine so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineHistory {
    /// Worker that it is about.
    pub worker: WorkerId,
    /// Reboots.
    pub reboots: u32,
    /// Whether a running task was stopped or rebooted away.
    pub cut_off: bool,
}

#[derive(Debug)]
struct StandinMachine {
    report: MachineReport,
    history: MachineHistory,
    changed: ChangeCursor,
    until: Option<Instant>,
    done: BTreeSet<(LogOffset, String)>,
}

#[derive(Debug)]
struct MachineTable {
    settings: MachineSettings,
    machines: IndexMap<WorkerId, StandinMachine>,
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
    /// Starts the service on a thread of its own.
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

    /// Returns the address that the service listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl MachineTable {
    fn new(settings: MachineSettings) -> Self {
        let machines = settings.workers.iter().enumerate();
        let machines = machines.map(|(index, worker)| {
            let machine = StandinMachine::new(worker, index as ChangeCursor + 1);
            (worker.clone(), machine)
        });
        Self {
            machines: machines.collect(),
            next: settings.workers.len() as ChangeCursor,
            settings,
            orders: 0,
        }
    }

    /// Ends drains and reboots whose time is over.
    fn pass_time(&mut self, now: Instant) {
        let next = &mut self.next;
        let due = |machine: &&mut StandinMachine| machine.until.is_some_and(|until| until <= now);
        for machine in self.machines.values_mut().filter(due) {
            machine.until = None;
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

    /// Carries out an order; returns the status of the answer, or `None` when it is lost.
    fn order(&mut self, now: Instant, order: &MachineOrder) -> Option<StatusCode> {
        self.orders += 1;
        let Some(machine) = self.machines.get_mut(&order.worker) else {
            return Some(StatusCode::NotFound);
        };
        let status = match machine.take_order(now, order, &self.settings) {
            OrderVerdict::New => {
                self.next += 1;
                machine.changed = self.next;
                StatusCode::NoContent
            }
            OrderVerdict::Repeated => StatusCode::NoContent,
            OrderVerdict::Refused => StatusCode::Conflict,
        };
        let lost = self.settings.response_loss_interval > 0
            && self
                .orders
                .is_multiple_of(self.settings.response_loss_interval);
        (!lost).then_some(status)
    }

    fn history(&self) -> Vec<&MachineHistory> {
        let machines = self.machines.values();
        machines.map(|machine| &machine.history).collect()
    }
}

enum OrderVerdict {
    New,
    Repeated,
    Refused,
}

impl StandinMachine {
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
            until: None,
            done: BTreeSet::new(),
        }
    }

    fn take_order(
        &mut self,
        now: Instant,
        order: &MachineOrder,
        settings: &MachineSettings,
    ) -> OrderVerdict {
        let key = (order.operation, order.action.to_string());
        if self.done.contains(&key) {
            return OrderVerdict::Repeated;
        }
        let stale = order.operation < self.report.operation || order.boot != self.report.boot;
        let undrained = self.report.state != MachineState::Drained;
        if stale || (order.action == MachineAction::Reboot && undrained) {
            return OrderVerdict::Refused;
        }
        self.done.insert(key);
        self.report.operation = order.operation;
        self.act(now, order.action, settings);
        OrderVerdict::New
    }

    fn act(&mut self, now: Instant, action: MachineAction, settings: &MachineSettings) {
        match action {
            MachineAction::Drain => {
                self.report.state = MachineState::Draining;
                self.until = Some(now + settings.drain_time);
            }
            MachineAction::Checkpoint => {}
            MachineAction::Stop => {
                self.history.cut_off |= self.until.is_some();
                self.until = Some(now);
            }
            MachineAction::Reboot => {
                self.history.reboots += 1;
                self.report.state = MachineState::Rebooting;
                self.until = Some(now + settings.reboot_time);
            }
            MachineAction::Resume => {
                self.report.state = MachineState::Serving;
                self.until = None;
            }
        }
    }
}

impl HttpHandler for MachineHandler {
    fn handle(&self, request: Request) -> BoxedLocal<Response> {
        let handler = self.clone();
        async move {
            handler.table.borrow_mut().pass_time(Instant::now());
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
