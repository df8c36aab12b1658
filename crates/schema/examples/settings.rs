//! Writes the generated Rust code of the settings to standard output.
//!
//! Usage: `settings SCHEMA`

fn main() {
    let path = std::env::args()
        .nth(1)
        .expect("missing argument: path of the schema");
    let schema = std::fs::read_to_string(&path).expect("can't read the schema");
    print!("{}", schema::generate(&schema));
}
