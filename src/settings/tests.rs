use super::*;

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
    let missing = SAMPLE.replace("rps = 4.0\n", "");
    let error = Settings::parse(&missing).expect_err("missing").to_string();
    assert!(error.contains("rps"), "{error}");
}
