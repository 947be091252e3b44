//! What operators write: the settings file, the policy script, the deploy file.

use super::{lines, text};
use std::fmt::Write;
use sumacbend::policy::Policy;
use sumacbend::settings::Settings;

const SETTINGS: &str = "settings.toml";
/// Fields of the platform's file that are not read.
const NOT_READ: [&str; 5] = ["nodes", "gang_wait_s", "gang_peer_s", "share", "times"];
/// Fields that may be left out.
const OPTIONAL: [&str; 2] = ["class", "within_s"];

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text).map_err(|error| error.to_string())
}

/// A controller's decoded settings, as far as they have a form of their own.
fn summary(settings: &Settings) -> String {
    let mut text = String::new();
    let connections = settings.connections();
    writeln!(text, "lapse_ms {}", settings.lease_expiry_ms()).expect("written");
    writeln!(text, "watch_cache_age_ms {}", settings.max_watch_cache_age_ms()).expect("written");
    writeln!(text, "served {}", connections.served).expect("written");
    writeln!(text, "kept_idle {}", connections.kept_idle).expect("written");
    writeln!(text, "in_flight {}", connections.in_flight).expect("written");
    writeln!(text, "backlog {}", connections.backlog).expect("written");
    writeln!(text, "bodies_kib {}", settings.max_submissions_kib()).expect("written");
    writeln!(text, "event_queue {}", settings.event_queue_capacity()).expect("written");
    for warning in settings.warnings() {
        writeln!(text, "warning {warning}").expect("written");
    }
    text
}

#[test]
fn the_settings_file_is_read_as_before() {
    let settings = parse(&text(SETTINGS)).expect("valid");
    assert_eq!(summary(&settings), text("settings_summary.txt"));
}

/// Each line of the file on its own: a field left out or renamed is named in the
/// error, one of another type is refused where it stands.
#[test]
fn every_field_of_the_settings_file_is_read_by_its_name() {
    let whole = text(SETTINGS);
    for (number, line) in whole.lines().enumerate() {
        let Some((field, _)) = line.split_once(" = ") else {
            continue;
        };
        let with = |line: &str| {
            let lines = whole.lines().enumerate();
            let lines = lines.map(|(other, old)| if other == number { line } else { old });
            parse(&lines.collect::<Vec<_>>().join("\n")).map(|_| ())
        };
        let (without, other_type) = (with(""), with(&format!("{field} = {{ x = 1 }}")));
        if NOT_READ.contains(&field) {
            assert_eq!((without, other_type), (Ok(()), Ok(())), "{field}");
            continue;
        }
        let place = format!("at line {}", number + 1);
        assert!(other_type.is_err_and(|error| error.contains(&place)), "{field}");
        if OPTIONAL.contains(&field) {
            assert_eq!(without, Ok(()), "{field}");
        } else {
            let missed = format!("missing field `{field}`");
            assert!(without.is_err_and(|error| error.contains(&missed)), "{field}");
        }
    }
}

#[test]
fn every_section_of_the_settings_file_is_read_by_its_name() {
    let whole = text(SETTINGS);
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
    // These may be left out; under their own names they are checked.
    for (section, field) in [("seeds", "address"), ("params.objectives", "kind")] {
        let spoilt = format!("{whole}\n[[{section}]]\nnovel = 1\n");
        assert!(parse(&spoilt).is_err(), "{section} has no `{field}`");
        let others = whole.replace(&format!("[[{section}]]"), "[[novel]]");
        assert!(parse(&others).is_ok(), "{section} may be left out");
    }
}

/// Of each policy value the name, the default and the range.
#[test]
fn policy_values_keep_their_names_defaults_and_ranges() {
    let entries = Policy::default().entries();
    let expected = lines("policy.txt");
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
        let beyond = [format!("{low} - 0.001"), format!("{high} + 0.001")].map(|value| set(&value));
        for refused in beyond {
            let error = refused.expect_err("outside the range").to_string();
            assert!(error.contains(&format!("`{name}`")), "{error}");
            assert!(error.contains(&format!("outside {low} to {high}")), "{error}");
        }
    }
}

#[test]
fn the_deploy_file_stays() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/service.toml");
    let deployed = std::fs::read_to_string(path).expect("the deploy file");
    assert_eq!(deployed, text("deploy_service.toml"));
}
