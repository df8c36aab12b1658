//! Writes the code of the settings to standard output.
//!
//! Usage: `settings SCHEMA`

fn main() {
    let path = std::env::args().nth(1).expect("path of the schema");
    let schema = std::fs::read_to_string(&path).expect("schema");
    print!("{}", schema::generate(&schema));
}
