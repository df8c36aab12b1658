//! Conversion of rating counters between the planner and frames to peers.

use contract::{Incarnation, NodeId};
use policy::quality::{Cell, Origin};

/// Maximum number of cells in one frame.
const MAX_CELLS: usize = 1_000;

/// Splits this node's counters into frames.
pub(super) fn frames(
    node: &NodeId,
    incarnation: Incarnation,
    cells: Vec<Cell>,
) -> Vec<wire::Ratings> {
    let chunks = cells.chunks(MAX_CELLS);
    chunks
        .map(|chunk| wire::Ratings {
            node: node.clone(),
            incarnation,
            cells: chunk.iter().cloned().map(encode).collect(),
        })
        .collect()
}

/// Reads a peer's counters from a frame.
pub(super) fn cells(ratings: wire::Ratings) -> (Origin, Vec<Cell>) {
    let origin = Origin {
        node: ratings.node,
        incarnation: ratings.incarnation,
    };
    let cells = ratings.cells.into_iter().map(decode).collect();
    (origin, cells)
}

fn encode(cell: Cell) -> wire::Cell {
    wire::Cell {
        model: cell.model,
        version: cell.version,
        task: cell.task,
        customer: cell.customer,
        sequence: cell.sequence,
        good: cell.good,
        bad: cell.bad,
    }
}

fn decode(cell: wire::Cell) -> Cell {
    Cell {
        model: cell.model,
        version: cell.version,
        task: cell.task,
        customer: cell.customer,
        sequence: cell.sequence,
        good: cell.good,
        bad: cell.bad,
    }
}
