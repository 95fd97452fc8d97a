//! Invalid router settings are rejected at start with an error that names the
//! setting.

use std::process::Command;

use test_case::test_case;

#[test_case(&[], &[], "setting --log-service: is required (or set MARJORAM_LOG_SERVICE)" ; "missing log service")]
#[test_case(&["--log-service", "nowhere"], &[], "log-service" ; "bad address")]
#[test_case(&["--log-service", "127.0.0.1:1", "--host-list", "127.0.0.1:2", "--workers", "0"], &[], "--workers" ; "zero workers")]
#[test_case(&["--host-list", "127.0.0.1:2"], &[("MARJORAM_LOG_SERVICE", "x:y")], "MARJORAM_LOG_SERVICE" ; "bad env")]
#[test_case(&["--log-service", "127.0.0.1:1", "--host-list", "127.0.0.1:2", "--log-format", "xml"], &[], "xml" ; "bad log format")]
fn error_names_the_invalid_setting(args: &[&str], env: &[(&str, &str)], expected: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_marjoram"))
        .args(args)
        .env_remove("MARJORAM_LOG_SERVICE")
        .envs(env.iter().copied())
        .output()
        .expect("binary runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}
