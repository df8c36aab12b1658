//! Stand-ins and cases of the third review. Built with the standard library alone, by `review/build-3.sh`.

#![allow(dead_code)]

mod http;
mod json;
mod departed;
mod evacuated;
mod restored;
mod site;
mod store;
mod worker;

use std::process::exit;

/// Runs a case: its name, and the folder of its record. Exits with 1 if the rule was broken, 0 if it held,
/// and 2 if the case couldn't run.
fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "departed" => departed::run(folder, trouble),
        "evacuated" => evacuated::run(folder, trouble),
        "restored" => restored::run(folder, trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match result {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            exit(2);
        }
    }
}
