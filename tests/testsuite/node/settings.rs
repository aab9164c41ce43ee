//! The platform's settings file.

use chiverelay_decisions::extra_attempts::ExtraAttemptLimit;
use chiverelay_decisions::resources::ResourceLimits;
use chiverelay_platform::settings::Error;
use chiverelay_platform::settings::Settings;
use chiverelay_platform::settings::environment::EXTRA_ATTEMPT_QUANTILE;
use chiverelay_platform::settings::environment::EXTRA_ATTEMPT_RATIO;
use support::cases;
use support::node::site::settings;

fn good() -> String {
    let store = "10.200.1.7:8225".parse().expect("an address");
    settings("one", "10.1.0.25", "north-a", "north", store)
}

#[test]
fn a_good_file_is_read_and_unknown_fields_are_ignored() {
    let settings: Settings = good().parse().expect("good settings");
    assert_eq!(settings.gateway.instance.as_str(), "one");
    assert_eq!(
        settings.gateway.sibling_address.to_string(),
        "10.1.0.25:7600"
    );
    assert_eq!(settings.gateway.zone_regions.len(), 3);
    assert_eq!(settings.gateway.retry_limit.slack, 56.0);
    assert_eq!(settings.store_address.to_string(), "10.200.1.7:8225");
}

fn check_resources(changes: &[(&str, &str)], expected: ResourceLimits) {
    let mut text = good();
    for (from, to) in changes {
        assert!(text.contains(from), "{from} is not in the file");
        text = text.replace(from, to);
    }
    let settings: Settings = text.parse().expect("good settings");
    assert_eq!(settings.gateway.resources, expected);
}

cases! {
    check_resources:
    stated_resources(&[], ResourceLimits { memory: 260 * 1024 * 1024, descriptors: 4100 });
    resources_by_default(
        &[("memory_mb = 260", ""), ("max_fds = 4100", "")],
        ResourceLimits::default()
    );
}

/// Replaces parts of a good file and expects a fault of each field.
fn check_faults(changes: &[(&str, &str)], fields: &[&str]) {
    let mut text = good();
    for (from, to) in changes {
        assert!(text.contains(from), "{from} is not in the file");
        text = text.replace(from, to);
    }
    let Err(Error::InvalidFields(faults)) = text.parse::<Settings>() else {
        panic!("the faults are not told");
    };
    let found: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(found, fields);
}

cases! {
    check_faults:
    a_missing_name(&[("node_name = \"one\"", "")], &["node_name"]);
    an_address_without_a_port(&[("10.1.0.25:8224", "10.1.0.25")], &["listen.ready"]);
    a_number_that_is_a_text(&[("grace_s = 8", "grace_s = \"8\"")], &["bounds.grace_s"]);
    a_negative_number(&[("cold_slack = 3", "cold_slack = -3")], &["bounds.cold_slack"]);
    all_at_once(
        &[
            ("ttl_max_s = 5", ""),
            ("zone = \"north-a\"", "zone = 4"),
            ("port_range = [7600, 7615]", "port_range = []")
        ],
        &["port_range", "zone", "bounds.ttl_max_s"]
    );
}

#[test]
fn a_file_that_is_not_toml_is_told_with_its_place() {
    let e = "node_name = "
        .parse::<Settings>()
        .expect_err("a syntax error");
    assert!(e.to_string().contains("line 1"), "{e}");
}

#[test]
fn the_program_exits_with_2_and_names_every_fault() {
    let dir = tempfile::TempDir::new().expect("a folder");
    let path = dir.path().join("bad.toml");
    std::fs::write(&path, "node_name = \"one\"\nzone = 7\n").expect("written");
    let program = support::process::programs().join("chiverelay-node");
    let mut command = std::process::Command::new(program);
    let command = command.arg("check").env("CHIVERELAY_SETTINGS", &path);
    let output = command.output().expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    for field in [
        "zone: not a non-empty string",
        "region: missing",
        "listen.front: missing",
    ] {
        assert!(said.contains(field), "{field} is not in {said}");
    }
}

/// Reads good settings with environment variables.
fn with_variables(variables: &[(&str, &str)]) -> Result<Settings, Error> {
    let settings: Settings = good().parse().expect("good settings");
    settings.with_environment(|name| {
        let found = variables.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| (*value).to_owned())
    })
}

fn check_extra_attempts(variables: &[(&str, &str)], want: Option<(f64, f64)>) {
    let settings = with_variables(variables).expect("good variables");
    let want = want.map(|(ratio, quantile)| ExtraAttemptLimit { ratio, quantile });
    assert_eq!(settings.gateway.extra_attempts, want);
}

cases! {
    check_extra_attempts:
    no_extra_attempts_by_default(&[], None);
    no_extra_attempts_at_a_ratio_of_0(&[(EXTRA_ATTEMPT_RATIO, "0")], None);
    extra_attempts_by_a_ratio(&[(EXTRA_ATTEMPT_RATIO, "0.02")], Some((0.02, 0.95)));
    extra_attempts_after_a_quantile(
        &[(EXTRA_ATTEMPT_RATIO, "0.05"), (EXTRA_ATTEMPT_QUANTILE, "0.99")],
        Some((0.05, 0.99))
    );
    a_quantile_alone_allows_none(&[(EXTRA_ATTEMPT_QUANTILE, "0.99")], None);
}

fn check_variable_faults(variables: &[(&str, &str)], names: &[&str]) {
    let Err(Error::InvalidFields(faults)) = with_variables(variables) else {
        panic!("the faults are not told");
    };
    let found: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(found, names);
}

cases! {
    check_variable_faults:
    a_ratio_that_is_no_number(&[(EXTRA_ATTEMPT_RATIO, "some")], &[EXTRA_ATTEMPT_RATIO]);
    a_ratio_above_1(&[(EXTRA_ATTEMPT_RATIO, "1.5")], &[EXTRA_ATTEMPT_RATIO]);
    a_ratio_that_is_nan(&[(EXTRA_ATTEMPT_RATIO, "NaN")], &[EXTRA_ATTEMPT_RATIO]);
    both_variables(
        &[(EXTRA_ATTEMPT_RATIO, ""), (EXTRA_ATTEMPT_QUANTILE, "1")],
        &[EXTRA_ATTEMPT_RATIO, EXTRA_ATTEMPT_QUANTILE]
    );
}
