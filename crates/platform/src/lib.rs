//! Clients of the platform's services.
