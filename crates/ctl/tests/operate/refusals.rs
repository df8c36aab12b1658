//! Requests that the operator API rejects.

use super::fleet::{Fleet, OPERATOR_KEY};
use serde_json::{Value, json};

async fn post(fleet: &Fleet, key: Option<&str>, body: &str) -> (u16, Value) {
    let url = format!("{}/operator/v1/changes", fleet.server.url());
    let mut request = reqwest::Client::new().post(url).body(body.to_owned());
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.json().await.unwrap())
}

macro_rules! refused {
    ($($name:ident: $key:expr, $body:expr => $status:literal, $code:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let fleet = Fleet::start().await;
            let (status, body) = post(&fleet, $key, &$body.to_string()).await;
            assert_eq!((status, &body["error"]["code"]), ($status, &json!($code)), "{body}");
            assert_eq!(body["error"]["ran"], "no");
        }
    )*};
}

fn edit(key: &str, object: Value) -> Value {
    json!({ "change": "c", "entries": [{ "key": key, "object": object }] })
}

refused! {
    no_key: None, json!({}) => 401, "unauthenticated";
    wrong_key: Some("bootstrap-key-of-operatorz"), json!({}) => 401, "unauthenticated";
    malformed_json: Some(OPERATOR_KEY), "{\"change\":" => 400, "invalid_request";
    unknown_field: Some(OPERATOR_KEY), json!({ "change": "c", "entries": [], "force": true }) => 400, "invalid_request";
    no_entries: Some(OPERATOR_KEY), json!({ "change": "c", "entries": [] }) => 400, "invalid_change";
    id_that_is_no_name: Some(OPERATOR_KEY), json!({ "change": "a/b", "entries": [] }) => 400, "invalid_change";
    members_belong_to_nodes: Some(OPERATOR_KEY), edit("member/n1", Value::Null) => 422, "member";
    unknown_kind: Some(OPERATOR_KEY), edit("cluster/a", json!({ "cluster": {} })) => 422, "invalid_configuration";
    wrong_key_of_an_object: Some(OPERATOR_KEY), edit("zone/a", json!({ "zone": { "name": "b", "out": true } })) => 422, "invalid_configuration";
    unknown_model: Some(OPERATOR_KEY), edit("contract/c", json!({ "contract": { "customer": "c", "keys": [], "models": ["huge"] } })) => 422, "invalid_configuration";
    base_ahead_of_the_log: Some(OPERATOR_KEY), json!({ "change": "c", "base": 99, "entries": [{ "key": "zone/a", "object": { "zone": { "name": "a", "out": true } } }] }) => 422, "unknown_base";
}
