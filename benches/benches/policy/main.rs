//! The decisions of the task scheduler under generated demand, beside simple baselines.
//!
//! Several schedulers run side by side on virtual time with fixed seeds; small fakes take the place of
//! workers, the log and the peers' links. Each row is printed as a table line and as JSON.

mod demand;
mod fleet;
mod meter;
mod report;
mod scenario;
mod world;

fn main() {
    let only: Vec<String> = std::env::args()
        .skip(1)
        .filter(|name| !name.starts_with('-'))
        .collect();
    let is_wanted = |name: &str| only.is_empty() || only.iter().any(|wanted| name.contains(wanted));
    for (name, run) in scenario::ALL {
        if is_wanted(name) {
            println!("\n== {name}");
            run().iter().for_each(report::print);
        }
    }
}
