//! The operators' tool, run as its users run it.

use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::process;
use support::site::Site;
use support::site::TOKEN;
use support::site::document;

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Checks exit code and a part of the output of a call without an instance.
fn check_call(args: &[&str], code: i32, part: &str) {
    let output = process::output("chiverelay", args);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let text = stdout(&output) + &stderr(&output);
    assert!(text.contains(part), "{text}");
}

cases! {
    check_call:
    no_arguments(&[], 2, "Exit codes:");
    help(&["--help"], 0, "Exit codes:");
    version(&["--version"], 0, "chiverelay 0.1.0");
    help_of_apply(&["apply", "--help"], 0, "chiverelay apply --instance");
    help_of_certs(&["certs", "--help"], 0, "chiverelay certs --dir");
    help_of_check(&["check", "--help"], 0, "chiverelay check FILE");
    help_of_diff(&["diff", "--help"], 0, "chiverelay diff --instance");
    help_of_drain(&["drain", "--help"], 0, "chiverelay drain --instance");
    help_of_keys(&["keys", "--help"], 0, "chiverelay keys grant|withdraw|list");
    help_of_show(&["show", "--help"], 0, "chiverelay show --instance");
    help_of_status(&["status", "--help"], 0, "chiverelay status --instance");
    help_of_timeline(&["timeline", "--help"], 0, "chiverelay timeline --instance");
    unknown_subcommand(&["aply"], 2, "Exit codes:");
    unknown_argument(&["status", "--instance", "127.0.0.1:1", "--verbose"], 2, "--verbose");
    missing_argument(&["status"], 2, "--instance");
    unknown_action(&["keys", "steal", "--instance", "127.0.0.1:1"], 2, "keys grant|withdraw|list");
    nobody_there(&["status", "--instance", "127.0.0.1:1"], 1, "can't connect to 127.0.0.1:1");
    missing_file(&["check", "/nonexistent"], 2, "/nonexistent: No such file");
    name_unfit_for_certificates(
        &["certs", "--dir", "/nonexistent", "--instance", "Lima 1", "--region", "lima"],
        2,
        "small letters, digits and inner hyphens"
    );
}

/// Checks exit code and a part of the output of the daemon's program.
fn check_daemon(args: &[&str], code: i32, part: &str) {
    let output = process::output("chiverelayd", args);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let text = stdout(&output) + &stderr(&output);
    assert!(text.contains(part), "{text}");
}

cases! {
    check_daemon:
    daemon_without_arguments(&[], 2, "Exit codes:");
    daemon_help(&["--help"], 0, "chiverelayd run SETTINGS");
    daemon_help_of_run(&["run", "--help"], 0, "chiverelayd run SETTINGS");
    daemon_version(&["--version"], 0, "chiverelayd 0.1.0");
    daemon_without_settings(&["run"], 2, "");
    daemon_unknown_argument(&["check", "/nonexistent", "--fast"], 2, "--fast");
}

/// Calls the tool at a daemon with the operators' token.
fn tool(site: &Site, name: &str, args: &[&str]) -> Output {
    let token = site.path("token");
    std::fs::write(&token, TOKEN).expect("the token can be written");
    let address = site.daemon(name).operator.to_string();
    let mut all = args.to_vec();
    all.extend(["--instance", &address, "--token-file", &token]);
    process::output("chiverelay", &all)
}

fn write(site: &Site, name: &str, document: &Value) -> String {
    let path = site.path(name);
    std::fs::write(&path, document.to_string()).expect("a document can be written");
    path
}

async fn site() -> (Site, Value) {
    let site = Site::start(&[("lima-1", "lima")]).await;
    let (_, service) = site.service().await;
    let document = document(&[], &[("orders-1", service, "lima")]);
    (site, document)
}

#[test]
fn a_file_is_applied_shown_and_compared() {
    block_on(async {
        let (site, mut document) = site().await;
        let first = write(&site, "first.jsonc", &document);
        let output = tool(&site, "lima-1", &["apply", &first, "--json"]);
        assert_eq!(stdout(&output), "{\"version\":1}\n", "{output:?}");
        let shown = stdout(&tool(&site, "lima-1", &["show"]));
        let again = site.path("shown.jsonc");
        std::fs::write(&again, shown).expect("a document can be written");
        let output = tool(&site, "lima-1", &["diff", &again]);
        assert_eq!(stdout(&output), "no changes\n", "{output:?}");
        document["accounts"]["encargos"]["rate"] = json!(7);
        let second = write(&site, "second.jsonc", &document);
        let output = tool(&site, "lima-1", &["diff", &second]);
        let want = "- accounts.encargos.rate: 100000\n+ accounts.encargos.rate: 7\n";
        assert_eq!(stdout(&output), want, "{output:?}");
    });
}

#[test]
fn a_conflict_shows_what_the_other_operator_changed() {
    block_on(async {
        let (site, mut document) = site().await;
        site.apply("lima-1", document.clone()).await;
        let stale = write(&site, "stale.jsonc", &document);
        document["accounts"]["caja"] = json!({"rate": 1, "burst": 2});
        site.apply("lima-1", document).await;
        let output = tool(&site, "lima-1", &["apply", "--expect", "1", &stale]);
        assert_eq!(output.status.code(), Some(4), "{output:?}");
        assert!(stderr(&output).contains("version 2"), "{output:?}");
        let config = site.daemon("lima-1").client().config().await;
        assert!(
            config
                .expect("a configuration")
                .document
                .accounts
                .contains_key("caja")
        );
    });
}

#[test]
fn a_faulty_file_is_not_sent() {
    block_on(async {
        let (site, mut document) = site().await;
        document["routes"]["status"]["pool"] = json!("nowhere");
        let path = write(&site, "faulty.jsonc", &document);
        let output = tool(&site, "lima-1", &["apply", &path]);
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        assert!(
            stderr(&output).contains("routes.status.pool: no pool nowhere"),
            "{output:?}"
        );
        let config = site.daemon("lima-1").client().config().await;
        assert_eq!(config.expect("a configuration").version, 0);
    });
}

#[test]
fn a_key_is_shown_once() {
    block_on(async {
        let (site, document) = site().await;
        site.apply("lima-1", document).await;
        let output = tool(&site, "lima-1", &["keys", "grant", "encargos"]);
        let key = stdout(&output).trim().to_owned();
        let (id, secret) = key
            .strip_prefix("ck_")
            .and_then(|k| k.split_once('.'))
            .expect("a key");
        let address = site.daemon("lima-1").caller;
        let answer = caller::post(address, "/orders", &key, &json!({})).await;
        assert!(answer.expect("an answer").status.is_success());
        // A key where none may stand is refused, and must not be recorded.
        let path = format!("/orders/{key}");
        let answer = caller::post(address, &path, &key, &json!({})).await;
        assert_eq!(answer.expect("an answer").status.as_u16(), 400);
        for args in [
            &["keys", "list"][..],
            &["keys", "list", "--json"],
            &["show", "--json"],
            &["status", "--json"],
            &["timeline", "--json"],
        ] {
            let output = tool(&site, "lima-1", args);
            assert!(output.status.success(), "{output:?}");
            let text = stdout(&output) + &stderr(&output);
            assert!(!text.contains(secret), "{args:?}: {text}");
        }
        let output = tool(&site, "lima-1", &["keys", "withdraw", &key]);
        assert_eq!(
            stdout(&output),
            format!("{id}  encargos  withdrawn\n"),
            "{output:?}"
        );
    });
}

#[test]
fn a_wrong_token_is_refused() {
    block_on(async {
        let (site, _) = site().await;
        let token = site.path("wrong");
        std::fs::write(&token, "wrong").expect("the token can be written");
        let address = site.daemon("lima-1").operator.to_string();
        let args = [
            "keys",
            "list",
            "--instance",
            &address,
            "--token-file",
            &token,
        ];
        let output = process::output("chiverelay", &args);
        assert_eq!(output.status.code(), Some(1));
        assert!(
            stderr(&output).contains("token is missing or wrong"),
            "{output:?}"
        );
        let status = site
            .daemon("lima-1")
            .client()
            .status()
            .await
            .expect("a status");
        assert_eq!(
            status.counters["operator.refused reason=unauthenticated"],
            1
        );
    });
}

#[test]
fn a_drained_instance_ends_well() {
    block_on(async {
        let (mut site, _) = site().await;
        let output = tool(&site, "lima-1", &["drain"]);
        assert_eq!(stdout(&output), "draining\n", "{output:?}");
        assert!(site.daemon_mut("lima-1").process.wait());
    });
}

#[test]
fn a_reader_that_leaves_early_is_no_error() {
    let mut child = Command::new(process::programs().join("chiverelay"))
        .arg("--help")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("the program ends");
    assert!(output.status.success(), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
}
