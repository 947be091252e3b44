//! The program behind the cases' `run.sh`: `cases NUMBER ROOT FOLDER`. It plays the state service,
//! the cloud, its workers and the users, and starts the controllers as processes.

mod cluster;
mod http;
mod json;
mod machines;
mod record;
mod state;

#[path = "../4/case.rs"]
mod case_4;
#[path = "../5/case.rs"]
mod case_5;
#[path = "../6/case.rs"]
mod case_6;
#[path = "../7/case.rs"]
mod case_7;
#[path = "../trials-2/repeated_submission.rs"]
mod repeated_submission;

use std::path::PathBuf;
use std::process::exit;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [number, root, folder] = &arguments[..] else {
        eprintln!("usage: cases NUMBER ROOT FOLDER");
        exit(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match number.as_str() {
        "4" => case_4::run(&root, &folder, trouble),
        "5" => case_5::run(&root, &folder, trouble),
        "6" => case_6::run(&root, &folder, trouble),
        "7" => case_7::run(&root, &folder, trouble),
        "repeated_submission" => repeated_submission::run(&root, &folder, trouble),
        _ => Outcome::CouldNotRun,
    };
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun => 2,
    });
}
