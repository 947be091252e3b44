//! The forms that must not change: what is written to the state service, to
//! users, workers and the cloud, to other controllers, and what operators write.
//!
//! The expected bytes are in plain files beside these tests; their README says how
//! they were made. The tests name types only, so that names inside the program
//! can change while the forms stay.

mod frames;
mod operators;
mod stored;
mod wire;

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

/// The lines of a golden file.
fn lines(name: &str) -> Vec<String> {
    let lines: Vec<String> = text(name).lines().map(String::from).collect();
    assert!(!lines.is_empty(), "{name} is empty");
    lines
}

/// The lines of a golden file, two at a time.
fn pairs(name: &str) -> Vec<(String, String)> {
    let lines = lines(name);
    assert!(lines.len().is_multiple_of(2), "{name} has a line too many");
    lines.chunks(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect()
}

fn text(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn decode<T: DeserializeOwned>(name: &str, line: &str) -> T {
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{name}: {error} in {line}"))
}

/// Every line of the file is read as a `T` and written as the very same text.
fn round_trip<T: Serialize + DeserializeOwned>(name: &str) {
    for line in lines(name) {
        let value: T = decode(name, &line);
        assert_eq!(serde_json::to_string(&value).expect("written"), line, "{name}");
    }
}

/// Of every two lines the first is read as a `T` and written as the second.
fn reads_as<T: Serialize + DeserializeOwned>(name: &str) {
    for (line, expected) in pairs(name) {
        let value: T = decode(name, &line);
        assert_eq!(serde_json::to_string(&value).expect("written"), expected, "{name}");
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at| text.get(at..at + 2).expect("two digits");
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(digits(at), 16).expect("hexadecimal"))
        .collect()
}
