//! Stand-ins for the systems around a node, for tests and the demo.
