//! Tests of reading and validating settings, and of the values derived from them.

use super::connection_limits::{CONNECTION_BYTES, CONNECTIONS_MEMORY_FRACTION};
use super::lease_timing::{EXPIRY_MARGIN_S, MAX_CLOCK_DRIFT_RATIO, MAX_WATCH_CACHE_AGE_LIMIT_MS};
use super::*;

/// Settings of a small site, in the form that the platform provides.
pub const SAMPLE: &str = r#"
node = "stall-0"
location = "north"
serve_on = "127.0.0.1:18080"
peer_listen = "127.0.0.1:18081"
unheard_of = 1
[[seeds]]
node = "stall-1"
location = "south"
address = "127.0.0.1:18082"
[external]
cloud = "127.0.0.1:18443"
state = "127.0.0.1:12379"
[params]
zones = ["north", "south"]
time_bound_ms = 25.0
[[params.teams]]
name = "floor"
cpus = 32.0
cpus_max = 96.0
gpus = 0.0
gpus_max = 0.0
[params.workers]
report_s = 3.0
lease_s = 45.0
cancel_s = 65.0
[params.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 48
[params.cloud]
rps = 4.0
list_lag_s = 6.0
[params.quota]
cores = 0.064
memory_mb = 136.0
max_connections = 3000
"#;

#[test]
fn unknown_fields_are_ignored_and_bad_ones_are_named() {
    assert!(Settings::parse(SAMPLE).is_ok());
    let bad = SAMPLE.replace("lease_s = 45.0", "lease_s = -1.0");
    let error = Settings::parse(&bad).expect_err("negative").to_string();
    assert!(error.contains("params.workers.lease_s"), "{error}");
    let small = SAMPLE.replace("memory_mb = 136.0", "memory_mb = 8.0");
    let error = Settings::parse(&small).expect_err("too little").to_string();
    assert!(
        error.contains("params.quota.memory_mb") && error.contains("24"),
        "{error}"
    );
    let missing = SAMPLE.replace("rps = 4.0\n", "");
    let error = Settings::parse(&missing).expect_err("missing").to_string();
    assert!(error.contains("rps"), "{error}");
}

/// A text in the sample, the invalid text that replaces it, and the resulting error message.
const INVALID_SETTINGS: [(&str, &str, &str); 7] = [
    (
        r#"node = "stall-0""#,
        r#"node = """#,
        "setting `node`: must not be empty",
    ),
    (
        "rps = 200.0",
        "rps = 0.0",
        "setting `params.state.rps`: must be a positive number, but is 0",
    ),
    (
        "time_bound_ms = 25.0",
        "time_bound_ms = -1.0",
        "setting `params.time_bound_ms`: must not be negative, but is -1",
    ),
    (
        "txn_ops = 48",
        "txn_ops = 7",
        "setting `params.state.txn_ops`: must be at least 8, but is 7",
    ),
    (
        r#"zones = ["north", "south"]"#,
        "zones = []",
        "setting `params.zones`: must name at least one zone",
    ),
    (
        "gpus_max = 0.0",
        "gpus_max = -2.0",
        "setting `params.teams.floor`: amounts must not be negative, but `gpus_max` is -2",
    ),
    (
        r#"node = "stall-1""#,
        r#"node = "stall-0""#,
        "setting `seeds`: `stall-0` is named twice",
    ),
];

/// Every error message names the field and says what was expected of its value.
#[test]
fn each_validation_error_names_the_field_and_the_expected_value() {
    for (valid, invalid, message) in INVALID_SETTINGS {
        let error = Settings::parse(&SAMPLE.replace(valid, invalid)).expect_err(invalid);
        assert_eq!(error.to_string(), message);
    }
}

/// Guards against tasks that outlast a cancellation by more than `cancel_s`: the closer the
/// leases are to `cancel_s`, the lower is the bound on the age of the watch cache. If even
/// the lowest bound is too high, a warning names the setting.
#[test]
fn the_watch_cache_age_limit_fits_into_the_cancellation_time() {
    let with = |cancel_s: &str| Settings::parse(&SAMPLE.replace("cancel_s = 65.0", cancel_s)).expect("valid");
    let long = with("cancel_s = 65.0");
    assert_eq!(long.max_watch_cache_age_ms(), MAX_WATCH_CACHE_AGE_LIMIT_MS);
    assert!(long.warnings().is_empty());
    let tight = with("cancel_s = 50.0");
    let sum = tight.max_watch_cache_age_ms() as f64 / 1000.0 + 45.0 * MAX_CLOCK_DRIFT_RATIO + EXPIRY_MARGIN_S;
    assert!(sum <= 50.0 && tight.warnings().is_empty(), "{sum}");
    let short = with("cancel_s = 46.0");
    assert!(short.warnings()[0].contains("params.workers.cancel_s"));
}

/// Guards against connection limits that fit only one size of controller: the connections
/// served, kept idle and in flight are derived from the limits on this process and together
/// stay within them.
#[test]
fn connections_stay_within_sockets_and_memory() {
    for (sockets, memory_mb) in [
        (64, 24.0),
        (2_470, 128.0),
        (2_500, 85.0),
        (3_000, 136.0),
        (20_000, 512.0),
    ] {
        let text = SAMPLE.replace("max_connections = 3000", &format!("max_connections = {sockets}"));
        let text = text.replace("memory_mb = 136.0", &format!("memory_mb = {memory_mb:.1}"));
        let connections = Settings::parse(&text).expect("valid").connections();
        let all = connections.served as usize + connections.kept_idle + connections.in_flight;
        assert!(
            all + connections.backlog as usize <= sockets,
            "{connections:?} of {sockets}"
        );
        assert!(all as f64 * CONNECTION_BYTES <= memory_mb * 1e6 * CONNECTIONS_MEMORY_FRACTION);
        assert!(connections.served as f64 > 0.4 * all as f64, "{connections:?}");
    }
}
