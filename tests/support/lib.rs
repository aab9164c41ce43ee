//! Helpers of the tests and benches: daemons as processes, stand-ins as tasks
//! of the test, and a caller.

pub mod caller;
pub mod crowd;
pub mod fleet;
pub mod node;
pub mod platform;
pub mod process;
pub mod raw;
pub mod replay;
pub mod shop;
pub mod site;

/// Makes one test of each named case by calling a check with its arguments.
///
/// ```ignore
/// cases! {
///     check_sum:
///     nothing([], 0);
///     two_numbers([1, 2], 3);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path: $($(#[$meta:meta])* $name:ident($($arg:expr),* $(,)?);)+) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $check($($arg),*);
            }
        )+
    };
}

/// Runs a future on a runtime of its own.
pub fn block_on<F>(future: F) -> F::Output
where
    F: std::future::Future,
{
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime can be made")
        .block_on(future)
}
