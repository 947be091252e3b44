//! Compatibility tests for the serialized formats that must not change: messages to users,
//! workers, the cloud and the state service, frames between controllers, stored keys and
//! values, and the files that operators write.
//!
//! The expected bytes are in plain files next to these tests; `README.md` describes how the
//! files were made. Most tests refer to types only, so that identifiers inside the program can
//! change while the formats stay the same.

mod frames;
mod operators;
mod stored;
mod wire;

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Returns the lines of a golden file, which must not be empty.
fn golden_lines(name: &str) -> Vec<String> {
    let lines: Vec<String> = golden_text(name).lines().map(String::from).collect();
    assert!(!lines.is_empty(), "{name} is empty");
    lines
}

/// Returns the lines of a golden file in pairs.
fn golden_pairs(name: &str) -> Vec<(String, String)> {
    let lines = golden_lines(name);
    assert!(lines.len().is_multiple_of(2), "{name} has an odd number of lines");
    lines.chunks(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect()
}

/// Returns the content of a golden file. `name` is its path below `tests/golden`.
fn golden_text(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Decodes a line of the golden file `name` from JSON.
fn decode_json<T: DeserializeOwned>(name: &str, line: &str) -> T {
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{name}: {error} in {line}"))
}

/// Checks that every line of the file decodes as a `T` and encodes to the same text.
fn check_round_trip<T: Serialize + DeserializeOwned>(name: &str) {
    for line in golden_lines(name) {
        let value: T = decode_json(name, &line);
        assert_eq!(
            serde_json::to_string(&value).expect("encodable as JSON"),
            line,
            "{name}"
        );
    }
}

/// Checks that the first line of each pair decodes as a `T`, which encodes to the second line.
fn check_normalized<T: Serialize + DeserializeOwned>(name: &str) {
    for (line, expected) in golden_pairs(name) {
        let value: T = decode_json(name, &line);
        assert_eq!(
            serde_json::to_string(&value).expect("encodable as JSON"),
            expected,
            "{name}"
        );
    }
}

/// Encodes bytes as lowercase hexadecimal digits.
fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes a text of hexadecimal digits.
fn from_hex(text: &str) -> Vec<u8> {
    let digits = |start| text.get(start..start + 2).expect("an even number of digits");
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(digits(start), 16).expect("hexadecimal digits"))
        .collect()
}
