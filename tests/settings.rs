//! Settings files: what is ignored, what is rejected, and that errors name the file, the field and the reason.

use chalklug::config::{Slo, SloKind, StateStoreLimits};
use std::process::Command;

const GOOD: &str = r#"
host_name = "n0"
location = "a"
front = "127.0.0.1:0"
peer_bind = "127.0.0.1:0"
surprise = "ignored"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[facts]
[[facts.teams]]
name = "blue"
gpus_max = 8.0
[facts.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 40.0
[facts.state]
rps = 100.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[facts.cloud]
rps = 5.0
list_lag_s = 6.0
[facts.quota]
cores = 0.1
memory_mb = 100.0
max_sockets = 1000
"#;

/// Runs `chalklug check` on these settings. Returns its exit code and standard error.
fn check(name: &str, platform: &str, operator: Option<&str>) -> (i32, String) {
    let dir = std::env::temp_dir().join(format!("chalklug-settings-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("platform.toml");
    std::fs::write(&file, platform).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_chalklug"));
    command.arg("check").arg("--config").arg(&file);
    if let Some(text) = operator {
        let operator_file = dir.join("operator.json");
        std::fs::write(&operator_file, text).unwrap();
        command.arg("--operator").arg(operator_file);
    }
    let output = command.output().unwrap();
    let _ = std::fs::remove_dir_all(dir);
    (
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

#[test]
fn invalid_settings_are_rejected_with_file_and_field() {
    check_valid_settings();
    check_invalid_platform_settings();
    check_invalid_operator_settings();
}

fn check_valid_settings() {
    assert_eq!(check("good", GOOD, None).0, 0);
    let next = format!("{GOOD}[facts.state.next]\nvalue_kb = 2.0\nwrite_rps = 18.0\n");
    assert_eq!(check("next-good", &next, None).0, 0);
    let close = GOOD.replace("cancel_s = 40.0", "cancel_s = 25.0");
    assert_eq!(check("close", &close, None).0, 0);
    assert_eq!(check("own", GOOD, Some(r#"{"idle_boots": 2.0}"#)).0, 0);
}

/// Asserts that the settings are rejected with an error that names the file and the field.
fn assert_rejected(name: &str, platform: &str, operator: Option<&str>, file: &str, field: &str) {
    let (code, text) = check(name, platform, operator);
    assert_eq!(code, 2, "{name}: {text}");
    let names_file_and_field = text.contains(field) && text.contains(file);
    assert!(names_file_and_field, "{name}: {text}");
}

fn check_invalid_platform_settings() {
    let cases = [
        (
            "lease",
            GOOD.replace("lease_s = 20.0", "lease_s = -1.0"),
            "facts.workers.lease_s",
        ),
        (
            "cancel",
            GOOD.replace("cancel_s = 40.0", "cancel_s = 23.5"),
            "facts.workers.lease_s",
        ),
        (
            "cancel-too",
            GOOD.replace("cancel_s = 40.0", "cancel_s = 23.5"),
            "facts.workers.cancel_s",
        ),
        ("missing", GOOD.replace("lease_s = 20.0", ""), "lease_s"),
        (
            "next",
            format!("{GOOD}[facts.state.next]\nvalue_kb = -2.0\n"),
            "facts.state.next.value_kb",
        ),
        (
            "next-ops",
            format!("{GOOD}[facts.state.next]\ntxn_ops = 2\n"),
            "facts.state.next.txn_ops",
        ),
        ("addr", GOOD.replace("127.0.0.1:1\"", "nowhere\""), "cloud"),
    ];
    for (name, platform, field) in cases {
        assert_rejected(name, &platform, None, "platform.toml", field);
    }
}

fn check_invalid_operator_settings() {
    let cases = [
        ("unknown", r#"{"idle_boot": 2.0}"#, "idle_boot"),
        ("range", r#"{"leader_life_ms": 10}"#, "leader_life_ms"),
    ];
    for (name, operator, field) in cases {
        assert_rejected(name, GOOD, Some(operator), "operator.json", field);
    }
}

/// Announced limits of the state store apply from the start where they are lower than the current ones.
#[test]
fn lower_of_current_and_announced_store_limits_holds() {
    let limits = |text: &str| -> StateStoreLimits {
        let limits: StateStoreLimits = toml::from_str(text).unwrap();
        limits.effective()
    };
    let now = "rps = 100.0\nwrite_rps = 25.0\nvalue_kb = 4.0\ntxn_ops = 8\n";
    let same = limits(now);
    assert_eq!((same.rps, same.write_rps), (100.0, 25.0));
    assert_eq!((same.value_kb, same.txn_ops), (4.0, 8));
    let next = limits(&format!(
        "{now}[next]\nvalue_kb = 2.0\ntxn_ops = 20\nwrite_rps = 18.0\n"
    ));
    assert_eq!((next.rps, next.write_rps), (100.0, 18.0));
    assert_eq!((next.value_kb, next.txn_ops), (2.0, 8));
}

#[test]
fn committed_schema_matches_the_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.schema.json");
    assert_eq!(
        std::fs::read_to_string(path).unwrap(),
        chalklug::config::operator_schema()
    );
}

/// Guards against an error from which an operator cannot tell how to correct the file.
#[test]
fn an_error_names_file_field_value_and_what_would_be_right() {
    let negative = GOOD.replace("lease_s = 20.0", "lease_s = -1.5");
    let (_, text) = check("names-platform", &negative, None);
    let expected = "field `facts.workers.lease_s` is -1.5: must be a number above 0";
    assert!(
        text.contains("platform.toml") && text.contains(expected),
        "{text}"
    );
    let (_, text) = check("names-own", GOOD, Some(r#"{"give_up_share": 1.25}"#));
    let expected = "field `give_up_share` is 1.25: must be 0 to 1";
    assert!(
        text.contains("operator.json") && text.contains(expected),
        "{text}"
    );
}

/// Guards against worker leases shorter than a failover, with which each failover would end all tasks.
#[test]
fn worker_lease_shorter_than_a_failover_is_rejected_with_what_would_do() {
    let short = GOOD.replace("lease_s = 20.0", "lease_s = 8.7");
    let (code, text) = check("short-lease", &short, None);
    let expected = "field `facts.workers.lease_s` is 8.7: must be at least 8.8, or each failover ends every task";
    assert_eq!(code, 2);
    assert!(
        text.contains("platform.toml") && text.contains(expected),
        "{text}"
    );
    let enough = GOOD.replace("lease_s = 20.0", "lease_s = 8.8");
    assert_eq!(check("long-lease", &enough, None).0, 0);
    // With a shorter leader lease the worker leases may be shorter too.
    let quick = Some(r#"{"leader_life_ms": 3000}"#);
    assert_eq!(check("quick-leader", &short, quick).0, 0);
}

/// Service-level objectives of kinds that the scheduler does not support are accepted and read as `Other`.
#[test]
fn objectives_of_every_kind_are_read() {
    let kind_of = |word: &str| {
        let text = format!("kind = \"{word}\"\nclass = \"hot\"\nwithin_s = 6.0");
        toml::from_str::<Slo>(&text).unwrap().kind
    };
    assert_eq!(kind_of("wait"), SloKind::StartDelay);
    assert_eq!(kind_of("finished"), SloKind::Completion);
    assert_eq!(kind_of("deadline"), SloKind::Deadline);
    assert_eq!(kind_of("guarantee"), SloKind::Other);
    let unnamed = toml::from_str::<Slo>("class = \"hot\"");
    assert!(unnamed.is_err(), "an objective without a kind");
}
