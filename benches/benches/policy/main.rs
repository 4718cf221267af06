//! Compares the scheduling policy with simple baselines under generated demand.
//!
//! Several schedulers are simulated in virtual time with fixed seeds and with fake workers, log and
//! peer links. Each row is printed as text and as a line of JSON.

mod demand;
mod fleet;
mod meter;
mod report;
mod scenario;
mod simulation;

fn main() {
    let filters: Vec<String> = std::env::args()
        .skip(1)
        .filter(|name| !name.starts_with('-'))
        .collect();
    let is_selected =
        |name: &str| filters.is_empty() || filters.iter().any(|filter| name.contains(filter));
    for (name, run) in scenario::ALL {
        if is_selected(name) {
            println!("\n== {name}");
            run().iter().for_each(report::print_row);
        }
    }
}
