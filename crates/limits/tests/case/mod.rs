//! Names each case of a test.

/// Makes one test of each case: `check => name: arguments;`.
#[macro_export]
macro_rules! cases {
    ($check:ident => $($name:ident: $($argument:expr),+;)+) => {
        $(#[test] fn $name() { $check($($argument),+); })+
    };
}
