//! Error responses when no route handles a request or a handler panics.

use node::{caller, operator};
use rocket::local::blocking::Client;
use serde_json::Value;

#[rocket::get("/panic")]
fn panic() -> &'static str {
    panic!("for the test")
}

/// Returns the status, `code` and `ran` of the response to a path.
fn error_response(path: &'static str) -> (u16, String, String) {
    let rocket = rocket::build()
        .mount("/", rocket::routes![panic])
        .mount(operator::ROOT, rocket::routes![panic])
        .register("/", caller::catchers())
        .register(operator::ROOT, operator::catchers());
    let client = Client::untracked(rocket).unwrap();
    let response = client.get(path).dispatch();
    let status = response.status().code;
    let body: Value = serde_json::from_str(&response.into_string().unwrap()).unwrap();
    let text = |field: &str| body["error"][field].as_str().unwrap().to_owned();
    (status, text("code"), text("ran"))
}

macro_rules! error_responses {
    ($($name:ident: $path:literal => $status:literal, $code:literal, $ran:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(error_response($path), ($status, $code.into(), $ran.into()));
        }
    )*};
}

error_responses! {
    unknown_path_for_callers: "/v1/nothing" => 404, "not_found", "no";
    unknown_path_for_operators: "/operator/v1/nothing" => 404, "not_found", "no";
    panic_in_a_caller_route: "/panic" => 500, "internal", "unknown";
    panic_in_an_operator_route: "/operator/v1/panic" => 500, "internal", "unknown";
}
