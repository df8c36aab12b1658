//! Table-driven tests.

/// Generates one test per case: `check => name: arguments;`.
#[macro_export]
macro_rules! cases {
    ($check:ident => $($name:ident: $($argument:expr),+;)+) => {
        $(#[test] fn $name() { $check($($argument),+); })+
    };
}
