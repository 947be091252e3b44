//! Files that operators write: the settings file, the policy script and the deploy file.

use super::{golden_lines, golden_text};
use std::fmt::Write;
use sumacbend::policy::Policy;
use sumacbend::settings::Settings;

const SETTINGS: &str = "settings.toml";
/// Fields of the platform's settings file that the program ignores.
const IGNORED: [&str; 5] = ["nodes", "gang_wait_s", "gang_peer_s", "share", "times"];
/// Fields that may be left out.
const OPTIONAL: [&str; 2] = ["class", "within_s"];

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text).map_err(|error| error.to_string())
}

/// Returns the limits and timeouts derived from the settings, and the warnings, one per line.
fn summary(settings: &Settings) -> String {
    let mut text = String::new();
    let connections = settings.connections();
    writeln!(text, "lapse_ms {}", settings.lease_expiry_ms()).expect("writing to a string");
    writeln!(text, "watch_cache_age_ms {}", settings.max_watch_cache_age_ms()).expect("writing to a string");
    writeln!(text, "served {}", connections.served).expect("writing to a string");
    writeln!(text, "kept_idle {}", connections.kept_idle).expect("writing to a string");
    writeln!(text, "in_flight {}", connections.in_flight).expect("writing to a string");
    writeln!(text, "backlog {}", connections.backlog).expect("writing to a string");
    writeln!(text, "bodies_kib {}", settings.max_submissions_kib()).expect("writing to a string");
    writeln!(text, "event_queue {}", settings.event_queue_capacity()).expect("writing to a string");
    for warning in settings.warnings() {
        writeln!(text, "warning {warning}").expect("writing to a string");
    }
    text
}

#[test]
fn values_derived_from_the_settings_file_are_unchanged() {
    let settings = parse(&golden_text(SETTINGS)).expect("valid");
    assert_eq!(summary(&settings), golden_text("settings_summary.txt"));
}

/// Removes each field of the file in turn and checks that the error names it, then gives it a
/// value of the wrong type and checks that the error gives its line. Optional fields may be
/// missing, and ignored fields may be missing or have any type.
#[test]
fn every_field_of_the_settings_file_keeps_its_name() {
    let whole = golden_text(SETTINGS);
    for (index, line) in whole.lines().enumerate() {
        let Some((field, _)) = line.split_once(" = ") else {
            continue;
        };
        let parse_with = |replacement: &str| {
            let lines = whole.lines().enumerate();
            let lines = lines.map(|(other, line)| if other == index { replacement } else { line });
            parse(&lines.collect::<Vec<_>>().join("\n")).map(|_| ())
        };
        let (without_field, with_wrong_type) = (parse_with(""), parse_with(&format!("{field} = {{ x = 1 }}")));
        if IGNORED.contains(&field) {
            assert_eq!((without_field, with_wrong_type), (Ok(()), Ok(())), "{field}");
            continue;
        }
        let position = format!("at line {}", index + 1);
        assert!(with_wrong_type.is_err_and(|error| error.contains(&position)), "{field}");
        if OPTIONAL.contains(&field) {
            assert_eq!(without_field, Ok(()), "{field}");
        } else {
            let expected = format!("missing field `{field}`");
            assert!(without_field.is_err_and(|error| error.contains(&expected)), "{field}");
        }
    }
}

#[test]
fn every_section_of_the_settings_file_keeps_its_name() {
    let whole = golden_text(SETTINGS);
    for section in [
        "external",
        "params",
        "params.teams",
        "params.workers",
        "params.state",
        "params.cloud",
        "params.quota",
    ] {
        let field = section.rsplit('.').next().expect("a name");
        let renamed = if section == "params" {
            whole.replace("[params", "[novel")
        } else {
            whole.replace(&format!("[{section}]"), "[novel]")
        };
        let error = parse(&renamed).expect_err(section);
        assert!(
            error.contains(&format!("missing field `{field}`")),
            "{section}: {error}"
        );
    }
    // These sections are optional, but if present their fields are checked.
    for (section, field) in [("seeds", "address"), ("params.objectives", "kind")] {
        let with_invalid = format!("{whole}\n[[{section}]]\nnovel = 1\n");
        assert!(parse(&with_invalid).is_err(), "{section} without `{field}` is rejected");
        let without_section = whole.replace(&format!("[[{section}]]"), "[[novel]]");
        assert!(parse(&without_section).is_ok(), "{section} is optional");
    }
}

/// Checks the name, the default and the range of each policy value. The limits of the range are
/// accepted; a value beyond them is rejected with an error that names the value and its range.
#[test]
fn policy_values_keep_their_names_defaults_and_ranges() {
    let entries = Policy::default().entries();
    let expected = golden_lines("policy.txt");
    assert_eq!(entries.len(), expected.len());
    for (line, (name, value)) in expected.iter().zip(entries) {
        let parts: Vec<&str> = line.split(' ').collect();
        let [expected_name, default, low, high] = parts[..] else {
            panic!("not a name, a default and a range: {line}");
        };
        assert_eq!((name, value.to_string().as_str()), (expected_name, default));
        let set = |value: &str| Policy::parse(&format!("return {{ {name} = {value} }}"));
        for value in [low, high] {
            let policy = set(value).expect("within the range");
            let number: f64 = value.parse().expect("a number");
            assert!(policy.entries().contains(&(name, number)), "{name} = {value}");
        }
        let out_of_range = [format!("{low} - 0.001"), format!("{high} + 0.001")].map(|value| set(&value));
        for result in out_of_range {
            let error = result.expect_err("outside the range").to_string();
            assert!(error.contains(&format!("`{name}`")), "{error}");
            assert!(error.contains(&format!("outside {low} to {high}")), "{error}");
        }
    }
}

#[test]
fn the_deploy_file_is_unchanged() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/service.toml");
    let deployed = std::fs::read_to_string(path).expect("the deploy file");
    assert_eq!(deployed, golden_text("deploy_service.toml"));
}
