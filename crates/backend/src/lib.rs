//! Clients of backend servers.
