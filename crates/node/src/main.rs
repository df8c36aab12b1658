//! The sardinebank node.

fn main() {}
