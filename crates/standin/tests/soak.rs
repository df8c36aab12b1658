//! The fault soak: a short run of fixed seeds, seeds that failed once, and each checker on a history
//! that breaks its promise.

use standin::Error;
use standin::soak::{Attempt, Broken, Kind, Ran, Settings, check, run};

/// Each seed is a test; the comment says why it stays.
macro_rules! seeds {
    ($($name:ident = $seed:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> Result<(), Error> {
            let settings = Settings { seed: $seed, ..Settings::default() };
            let report = run(settings).await?;
            assert!(report.broken.is_empty(), "seed {}: {report:?}", $seed);
            assert!(report.served * 2 > report.attempts, "seed {}: {report:?}", $seed);
            Ok(())
        }
    )*};
}

seeds! {
    seed_1 = 1;
    seed_2 = 2;
    seed_3 = 3;
}

fn attempt(id: &str, kind: Kind, status: u16, body: &str) -> Attempt {
    Attempt {
        id: id.to_owned(),
        kind,
        status: Some(status),
        body: Some(body.to_owned()),
        part: body.to_owned(),
        signature: "seal.s".to_owned(),
    }
}

fn ran(id: &str) -> Ran {
    Ran {
        id: id.to_owned(),
        server: "s".to_owned(),
    }
}

/// Each case: a history, and the promise that it breaks.
macro_rules! histories {
    ($($name:ident: $attempt:expr, $runs:expr => $broken:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(check(&[$attempt], &$runs, 2), $broken);
        }
    )*};
}

const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

histories! {
    a_good_history_is_good: attempt("r", Kind::Stream, 200, WHOLE), [ran("r")] => [];
    a_second_run_is_found: attempt("r", Kind::Once, 200, "answer to r"), [ran("r"), ran("r")] =>
        [Broken::Twice { id: "r".into(), runs: 2 }];
    an_untrue_refusal_is_found: attempt("r", Kind::Once, 503, ""), [ran("r")] =>
        [Broken::Refused("r".into())];
    a_mixed_answer_is_found: attempt("r", Kind::Again, 200, "answer to q"), [ran("r")] =>
        [Broken::Mixed("r".into())];
    an_answer_without_a_run_is_found: attempt("r", Kind::Again, 200, "answer to r"), [] =>
        [Broken::Mixed("r".into())];
    an_unasked_run_is_found: attempt("r", Kind::Again, 502, ""), [ran("q")] =>
        [Broken::Unasked("q".into())];
    a_gap_is_found: attempt("r", Kind::Stream, 200, "id: 2\ndata: b\n\n"), [ran("r")] =>
        [Broken::Order { id: "r".into(), events: vec![2] }];
    a_short_stream_is_found: attempt("r", Kind::Stream, 200, "id: 1\ndata: a\n\n"), [ran("r")] =>
        [Broken::Short("r".into())];
}
