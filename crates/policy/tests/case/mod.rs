//! Table-driven tests.

/// Defines a test for each case: `check => name: arguments;` calls `check(arguments)`.
#[macro_export]
macro_rules! cases {
    ($check:ident => $($name:ident: $($argument:expr),+;)+) => {
        $(#[test] fn $name() { $check($($argument),+); })+
    };
}
