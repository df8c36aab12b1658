//! The cases, a file each.

use crate::Play;
use std::io;

mod endless;
mod memory;
mod part;
mod returns;
mod whole;

pub fn play(name: &str, play: &Play) -> io::Result<bool> {
    match name {
        "endless" => endless::play(play),
        "memory" => memory::play(play),
        "part" => part::play(play),
        "returns" => returns::play(play),
        "whole" => whole::play(play),
        other => Err(io::Error::other(format!("no case {other}"))),
    }
}
