//! A node's view of configuration and members.
