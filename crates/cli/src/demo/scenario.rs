//! Scenarios of the demonstration, and the guarantees that they check.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime};

use async_io::Timer;
use futures_lite::future::{FutureExt, zip};
use pw_fleet::prelude::*;
use pw_zone::prelude::*;

use super::caller::{CallerOutcome, CallerRequest, call_all};
use super::fleet::DemoFleet;
use super::journal::{RunRecord, max_concurrent};
use super::report::GuaranteeCheck;
use super::wave::watch_wave;

/// Maximum time until every entry instance applies a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Polling interval of the entry instances.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Run time of a short task.
const SHORT_WORK: Duration = Duration::from_millis(20);
/// Run time of a task that occupies its slot for a while.
const LONG_WORK: Duration = Duration::from_millis(400);
/// Queue of all requests.
const QUEUE: &str = "custom-quotes";
/// Account whose upper limit is reached and whose key is withdrawn.
const SMALL_ACCOUNT: &str = "atelier";
/// Availability zone that is taken out of service and returned.
const ZONE: &str = "cantabrico-b";

type ScenarioFn = for<'a> fn(&'a DemoFleet) -> ScenarioFuture<'a>;
type ScenarioFuture<'a> =
    std::pin::Pin<Box<dyn Future<Output = anyhow::Result<Vec<GuaranteeCheck>>> + 'a>>;

/// Scenarios with their names, in the order in which they run.
pub(super) const SCENARIOS: [(&str, ScenarioFn); 6] = [
    ("applying the fleet file", |fleet| {
        apply_file(fleet).boxed_local()
    }),
    ("requests of every account", |fleet| {
        serve_accounts(fleet).boxed_local()
    }),
    ("an account reaches its upper limit", |fleet| {
        reach_limit(fleet).boxed_local()
    }),
    ("a maintenance wave", |fleet| maintain(fleet).boxed_local()),
    ("an availability zone leaves and returns", |fleet| {
        cycle_zone(fleet).boxed_local()
    }),
    ("a key is withdrawn", |fleet| {
        withdraw_key(fleet).boxed_local()
    }),
];

async fn apply_file(fleet: &DemoFleet) -> anyhow::Result<Vec<GuaranteeCheck>> {
    let check = apply_and_wait(fleet, fleet.spec().clone()).await?;
    Ok(vec![check])
}

async fn serve_accounts(fleet: &DemoFleet) -> anyhow::Result<Vec<GuaranteeCheck>> {
    const REQUESTS_PER_ACCOUNT: usize = 40;
    let requests = fleet
        .spec()
        .accounts
        .iter()
        .flat_map(|account| requests(&account.id, "accounts", REQUESTS_PER_ACCOUNT, SHORT_WORK))
        .collect();
    let outcomes = call_all(&fleet.callers(), requests).await;
    Ok(check_calls(fleet, &outcomes).await?.to_vec())
}

async fn reach_limit(fleet: &DemoFleet) -> anyhow::Result<Vec<GuaranteeCheck>> {
    const REQUESTS: usize = 160;
    let limit = fleet
        .spec()
        .accounts
        .iter()
        .find(|account| &*account.id == SMALL_ACCOUNT)
        .map(|account| account.limit);
    let limit = limit.unwrap_or_default() as usize;
    let requests = requests(SMALL_ACCOUNT, "limit", REQUESTS, LONG_WORK);
    let outcomes = call_all(&fleet.callers(), requests).await;
    let mut checks = check_calls(fleet, &outcomes).await?.to_vec();
    let runs = runs_for(fleet, &outcomes).await?;
    let most = max_concurrent(&runs);
    checks.push(GuaranteeCheck::new(
        "no account has more running than its upper limit",
        most <= limit && most > 0,
        format!("{} runs, at most {most} at once of {limit}", runs.len()),
    ));
    Ok(checks)
}

async fn maintain(fleet: &DemoFleet) -> anyhow::Result<Vec<GuaranteeCheck>> {
    let callers = fleet.callers();
    let begin = Instant::now();
    let load = call_all(&callers, zone_requests("maintenance"));
    let (outcomes, wave) = zip(load, watch_wave(fleet)).await;
    let (wave, machines) = (wave?, fleet.machine_history().await?);
    let rebooted = count(&machines, |machine| machine.reboots == 1);
    let cut_off = count(&machines, |machine| machine.cut_off);
    let mut checks = vec![
        GuaranteeCheck::new(
            "availability budgets hold",
            wave.finished && wave.violations == 0,
            format!("{} broken after {} records", wave.violations, wave.records),
        ),
        GuaranteeCheck::new(
            "maintenance harms no work",
            rebooted == machines.len() && cut_off == 0,
            format!(
                "{rebooted} of {} workers rebooted once, {cut_off} with a task cut off, {:.1} s",
                machines.len(),
                begin.elapsed().as_secs_f64()
            ),
        ),
    ];
    checks.extend(check_calls(fleet, &outcomes).await?);
    Ok(checks)
}

async fn cycle_zone(fleet: &DemoFleet) -> anyhow::Result<Vec<GuaranteeCheck>> {
    let (mut checks, outcomes) = with_load(fleet, "zone-out", async {
        set_zone(fleet, ZoneStatus::OutOfService).await
    })
    .await?;
    let out_of_service_at = SystemTime::now();
    let during = call_all(&fleet.callers(), zone_requests("zone-gone")).await;
    let zone_workers = fleet.workers_in(ZONE);
    let runs = runs_for(fleet, &during).await?;
    let starts = runs
        .iter()
        .filter(|run| zone_workers.contains(&run.worker))
        .count();
    checks.push(GuaranteeCheck::new(
        "no task starts in a zone that was taken out",
        starts == 0 && runs.iter().all(|run| run.started >= out_of_service_at) && !runs.is_empty(),
        format!(
            "{starts} of {} starts in {ZONE} after the change was in force",
            runs.len()
        ),
    ));
    checks.extend(check_calls(fleet, &outcomes).await?);
    checks.extend(check_calls(fleet, &during).await?);
    checks.push(set_zone(fleet, ZoneStatus::InService).await?);
    let after = call_all(&fleet.callers(), zone_requests("zone-back")).await;
    let runs_on_return = runs_for(fleet, &after).await?;
    let starts = runs_on_return
        .iter()
        .filter(|run| zone_workers.contains(&run.worker))
        .count();
    checks.push(GuaranteeCheck::new(
        "a zone that was brought back gets work again",
        starts > 0,
        format!("{starts} of {} starts in {ZONE}", runs_on_return.len()),
    ));
    Ok(checks)
}

async fn withdraw_key(fleet: &DemoFleet) -> anyhow::Result<Vec<GuaranteeCheck>> {
    const REQUESTS: usize = 20;
    let mut spec = fleet.spec().clone();
    let accounts = spec
        .accounts
        .iter_mut()
        .filter(|account| &*account.id == SMALL_ACCOUNT);
    accounts.for_each(|account| account.keys.clear());
    let applied = apply_and_wait(fleet, spec).await?;
    let requests = requests(SMALL_ACCOUNT, "withdrawn", REQUESTS, SHORT_WORK);
    let outcomes = call_all(&fleet.callers(), requests).await;
    let refused = outcomes
        .iter()
        .filter(|(_, outcome)| is_not_run(outcome))
        .count();
    let runs = runs_for(fleet, &outcomes).await?.len();
    let check = GuaranteeCheck::new(
        "a withdrawn key stops working within seconds",
        refused == REQUESTS && runs == 0,
        format!("{refused} of {REQUESTS} requests refused as not run, {runs} ran"),
    );
    Ok(vec![applied, check])
}

fn zone_requests(name: &str) -> Vec<CallerRequest> {
    const REQUESTS: usize = 120;
    requests("bilbao", name, REQUESTS, LONG_WORK)
}

fn requests(account: &str, scenario: &str, count: usize, work: Duration) -> Vec<CallerRequest> {
    (0..count)
        .map(|number| CallerRequest {
            account: account.to_owned(),
            queue: QUEUE.to_owned(),
            marker: format!("{scenario}-{account}-{number}"),
            work,
        })
        .collect()
}

async fn set_zone(fleet: &DemoFleet, status: ZoneStatus) -> anyhow::Result<GuaranteeCheck> {
    let mut spec = fleet.spec().clone();
    let zones = spec.zones.iter_mut().filter(|zone| &*zone.id == ZONE);
    zones.for_each(|zone| zone.status = status);
    apply_and_wait(fleet, spec).await
}

/// Performs `change` while callers send requests; returns its check and the outcomes.
async fn with_load(
    fleet: &DemoFleet,
    name: &str,
    change: impl Future<Output = anyhow::Result<GuaranteeCheck>>,
) -> anyhow::Result<(Vec<GuaranteeCheck>, Vec<(CallerRequest, CallerOutcome)>)> {
    let callers = fleet.callers();
    let (outcomes, check) = zip(call_all(&callers, zone_requests(name)), change).await;
    Ok((vec![check?], outcomes))
}

async fn apply_and_wait(fleet: &DemoFleet, spec: FleetSpec) -> anyhow::Result<GuaranteeCheck> {
    let begin = Instant::now();
    let revision = fleet.apply(spec).await?;
    let accepted = Instant::now();
    while fleet.lowest_revision().await < revision && accepted.elapsed() < APPLY_TIMEOUT {
        Timer::after(POLL_INTERVAL).await;
    }
    let lowest = fleet.lowest_revision().await;
    Ok(GuaranteeCheck::new(
        "an accepted configuration is in force everywhere within seconds",
        lowest >= revision,
        format!(
            "revision {revision} in {:.2} s",
            begin.elapsed().as_secs_f64()
        ),
    ))
}

/// Checks that answers are complete, refused tasks did not run, and no task ran twice.
async fn check_calls(
    fleet: &DemoFleet,
    outcomes: &[(CallerRequest, CallerOutcome)],
) -> anyhow::Result<[GuaranteeCheck; 3]> {
    let runs = runs_for(fleet, outcomes).await?;
    let mut starts: HashMap<&str, usize> = HashMap::new();
    for run in &runs {
        *starts.entry(&run.marker).or_default() += 1;
    }
    let ran = |request: &CallerRequest| starts.contains_key(request.marker.as_str());
    let answered = count(outcomes, |(_, outcome)| *outcome == CallerOutcome::Answered);
    let complete = count(outcomes, |(request, outcome)| {
        *outcome == CallerOutcome::Answered && ran(request)
    });
    let not_run = count(outcomes, |(_, outcome)| is_not_run(outcome));
    let false_refusals = count(outcomes, |(request, outcome)| {
        is_not_run(outcome) && ran(request)
    });
    let twice = starts.values().filter(|starts| **starts > 1).count();
    Ok([
        GuaranteeCheck::new(
            "a caller gets the whole answer to its own request",
            complete == outcomes.len(),
            format!("{answered} of {} requests answered whole", outcomes.len()),
        ),
        GuaranteeCheck::new(
            "a refusal that says \"not run\" is true",
            false_refusals == 0,
            format!("{false_refusals} false of {not_run} refusals"),
        ),
        GuaranteeCheck::new(
            "a non-idempotent request runs at most once",
            twice == 0,
            format!("{twice} of {} tasks ran twice", starts.len()),
        ),
    ])
}

fn count<T>(items: &[T], matches: impl Fn(&T) -> bool) -> usize {
    items.iter().filter(|item| matches(item)).count()
}

fn is_not_run(outcome: &CallerOutcome) -> bool {
    matches!(outcome, CallerOutcome::Refused { run, .. } if run == "not_run")
}

async fn runs_for(
    fleet: &DemoFleet,
    outcomes: &[(CallerRequest, CallerOutcome)],
) -> anyhow::Result<Vec<RunRecord>> {
    let markers: Vec<&str> = outcomes
        .iter()
        .map(|(request, _)| request.marker.as_str())
        .collect();
    let mut runs = fleet.runs().await?;
    runs.retain(|run| markers.contains(&run.marker.as_str()));
    Ok(runs)
}
