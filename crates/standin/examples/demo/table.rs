//! The table of requests.

use crate::request::Done;

/// Prints one line for each request.
pub fn print(results: &[Done]) {
    println!(
        "{:<22} {:<15} {:>6}  {:<10} {:>11} {:>10}  {:<7} note",
        "customer", "task", "status", "version", "cost micros", "latency ms", "ran"
    );
    for done in results {
        let version = match done.model.as_str() {
            "" => "-".to_owned(),
            model => format!("{model}@{}", done.version),
        };
        let cost = done
            .cost_micros
            .map_or("-".to_owned(), |cost| cost.to_string());
        let latency = done.latency.as_secs_f64() * 1_000.0;
        println!(
            "{:<22} {:<15} {:>6}  {version:<10} {cost:>11} {latency:>10.1}  {:<7} {}",
            done.customer, done.task, done.status, done.ran, done.note
        );
    }
}
