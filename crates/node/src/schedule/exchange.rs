//! Rating counters between nodes.

use contract::{Incarnation, NodeId};
use policy::quality::{Cell, Origin};

/// Cells in one frame.
const MAX_CELLS: usize = 1_000;

/// Frames that carry this node's counts.
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
            cells: chunk.iter().cloned().map(outgoing).collect(),
        })
        .collect()
}

/// A peer's counts.
pub(super) fn cells(ratings: wire::Ratings) -> (Origin, Vec<Cell>) {
    let origin = Origin {
        node: ratings.node,
        incarnation: ratings.incarnation,
    };
    let cells = ratings.cells.into_iter().map(incoming).collect();
    (origin, cells)
}

fn outgoing(cell: Cell) -> wire::Cell {
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

fn incoming(cell: wire::Cell) -> Cell {
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
