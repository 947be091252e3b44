use super::*;
use serde_json::json;

#[test]
fn the_size_is_that_of_the_encoded_text() {
    let values = [json!({"a": [1, 2.5, null]}), json!("é\n\"x\""), json!({})];
    for value in values {
        assert_eq!(encoded_size(&value), value.to_string().len(), "{value}");
    }
}
