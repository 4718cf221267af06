//! Runs one case of the review: `stand-ins CASE FOLDER`. The exit code is 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod system;
mod world;

use std::process::exit;
use std::thread;
use std::time::Duration;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("stand-ins CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(112));
        eprintln!("the case takes too long");
        cases::stop_nodes();
        exit(2);
    });
    cases::handle_signals();
    let path = format!("{folder}/record.txt");
    let outcome = record::Record::create(&path).map_err(|error| error.to_string());
    let outcome = outcome.and_then(|record| cases::run(case, record, trouble));
    match outcome {
        Ok(None) => {
            println!("case {case}: the rule held");
            exit(0);
        }
        Ok(Some(broken)) => {
            println!("case {case}: {broken}");
            exit(1);
        }
        Err(error) => {
            println!("case {case} couldn't run: {error}");
            exit(2);
        }
    }
}
